package slope

import (
	"os"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
)

// columns is the number of plots in each row of the image.
const columns = 3

// Plot writes a PNG image with one plot for each series, which shows the points and the fitted line.
func Plot(path string, list []Series) error {
	rows := (len(list) + columns - 1) / columns
	grid := make([][]*plot.Plot, rows)
	for i := range grid {
		grid[i] = make([]*plot.Plot, columns)
	}
	for i, s := range list {
		p, err := newPlot(s)
		if err != nil {
			return err
		}
		grid[i/columns][i%columns] = p
	}
	return save(path, grid)
}

func newPlot(s Series) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = s.Name
	p.X.Label.Text = s.Driver
	p.X.Min, p.Y.Min = 0, 0
	points := make(plotter.XYs, len(s.Points))
	for i, v := range s.Points {
		points[i] = plotter.XY{X: v.X, Y: v.Y}
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return nil, errors.Wrap(err, "plot points")
	}
	p.Add(scatter, plotter.NewFunction(s.ValueAt))
	return p, nil
}

func save(path string, grid [][]*plot.Plot) error {
	canvas := vgimg.New(columns*7*vg.Centimeter, vg.Length(len(grid))*5*vg.Centimeter)
	tiles := draw.Tiles{Rows: len(grid), Cols: columns, PadX: vg.Millimeter * 3, PadY: vg.Millimeter * 3}
	canvases := plot.Align(grid, tiles, draw.New(canvas))
	for i, row := range grid {
		for j, p := range row {
			if p != nil {
				p.Draw(canvases[i][j])
			}
		}
	}
	f, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "create plot")
	}
	if _, err := (vgimg.PngCanvas{Canvas: canvas}).WriteTo(f); err != nil {
		f.Close()
		return errors.Wrap(err, "write plot")
	}
	return f.Close()
}
