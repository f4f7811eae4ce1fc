// Package slope measures how the cost of each mechanism grows with the size that drives it, and
// fits a line through the points. docs/CAPACITY.md works out the target size from the lines.
//
//	series := slope.All()
//	for _, s := range series {
//		fmt.Println(s.Name, s.Slope, s.Intercept, s.Fit)
//	}
package slope

import (
	"runtime"
	"time"

	"gonum.org/v1/gonum/stat"
)

// Point is one measurement.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Series is a mechanism measured at several sizes, with the line through the points.
type Series struct {
	Name string `json:"name"`
	// Driver is the size that varies, and Unit what is measured.
	Driver    string  `json:"driver"`
	Unit      string  `json:"unit"`
	Points    []Point `json:"points"`
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	// Fit is the coefficient of determination.
	Fit float64 `json:"fit"`
}

// ValueAt returns the value of the line at x.
func (s Series) ValueAt(x float64) float64 { return s.Intercept + s.Slope*x }

// series measures f at each size.
func series(name, driver, unit string, sizes []int, f func(size int) float64) Series {
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

// Times of one measurement.
const (
	measureTime   = 30 * time.Millisecond
	measureRounds = 5
)

// microseconds returns the least mean time of one call of f over several rounds.
func microseconds(f func()) float64 {
	f()
	best := 0.0
	for range measureRounds {
		calls := 0
		started := time.Now()
		for time.Since(started) < measureTime {
			f()
			calls++
		}
		mean := float64(time.Since(started).Nanoseconds()) / 1000 / float64(calls)
		if best == 0 || mean < best {
			best = mean
		}
	}
	return best
}

// kilobytes returns the heap that remains after build, with its result kept alive.
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
