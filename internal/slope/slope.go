// Package slope measures how the cost of each mechanism grows with a size, such as the number of daemons,
// and fits a line to the points. docs/CAPACITY.md derives the target size of a deployment from these lines.
//
//	series := slope.MeasureAll()
//	for _, s := range series {
//		fmt.Println(s.Name, s.Slope, s.Intercept, s.Fit)
//	}
package slope

import (
	"runtime"
	"time"

	"gonum.org/v1/gonum/stat"
)

// Point is the measured cost of a mechanism (Y) at one size (X), such as the number of daemons.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Series contains the cost of one mechanism at several sizes, and the line fitted to the points.
type Series struct {
	Name string `json:"name"`
	// Driver describes the x values, for instance "daemons". Unit describes the y values and their unit,
	// for instance "messages of the leader a second at rest".
	Driver    string  `json:"driver"`
	Unit      string  `json:"unit"`
	Points    []Point `json:"points"`
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	// Fit is the coefficient of determination (R²) of the line.
	Fit float64 `json:"fit"`
}

// ValueAt returns the y value of the fitted line at x.
func (s Series) ValueAt(x float64) float64 { return s.Intercept + s.Slope*x }

// measureSeries measures f at each size.
func measureSeries(name, driver, unit string, sizes []int, f func(size int) float64) Series {
	s := Series{Name: name, Driver: driver, Unit: unit}
	var xs, ys []float64
	for _, size := range sizes {
		y := f(size)
		s.Points = append(s.Points, Point{X: float64(size), Y: y})
		xs, ys = append(xs, float64(size)), append(ys, y)
	}
	s.Intercept, s.Slope = stat.LinearRegression(xs, ys, nil, false)
	s.Fit = stat.RSquared(xs, ys, nil, s.Intercept, s.Slope)
	return s
}

// Duration of one round, and number of rounds, of a time measurement.
const (
	measureTime   = 30 * time.Millisecond
	measureRounds = 5
)

// microseconds returns the mean time of one call of f in the fastest of several rounds.
func microseconds(f func()) float64 {
	f()
	lowest := 0.0
	for range measureRounds {
		calls := 0
		started := time.Now()
		for time.Since(started) < measureTime {
			f()
			calls++
		}
		mean := float64(time.Since(started).Nanoseconds()) / 1000 / float64(calls)
		if lowest == 0 || mean < lowest {
			lowest = mean
		}
	}
	return lowest
}

// kilobytes returns the heap memory that the result of build occupies.
func kilobytes[T any](build func() T) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return max(float64(after.HeapAlloc)-float64(before.HeapAlloc), 0) / 1024
}
