package driver

import (
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// attainmentBins is the number of equal time bins of a plot.
const attainmentBins = 40

// Plot writes a plot of attainment by class over arrival time to a file. The
// extension of path, such as .png or .svg, selects the format.
func (r *Report) Plot(path string) error {
	p := plot.New()
	p.Title.Text = "Attainment by class: " + r.Trace
	p.X.Label.Text = "time of arrival in seconds"
	p.Y.Label.Text = "share of requests that met the target"
	p.Y.Min, p.Y.Max = 0, 1.05
	p.Legend.Top = false
	p.Add(plotter.NewGrid())
	for i, c := range r.Classes {
		points := r.attainment(c.Class)
		if len(points) == 0 {
			continue
		}
		line, marks, err := plotter.NewLinePoints(points)
		if err != nil {
			return &Error{Op: "plot", Kind: ErrorWrite, Err: err}
		}
		line.Color, marks.Color = plotutil.Color(i), plotutil.Color(i) //nolint:misspell // names of the library
		marks.Shape = plotutil.Shape(i)
		p.Add(line, marks)
		p.Legend.Add(c.Class, line, marks)
	}
	if err := p.Save(24*vg.Centimeter, 12*vg.Centimeter, path); err != nil { //nolint:misspell // names of the library
		return &Error{Op: "plot", Kind: ErrorWrite, Err: err}
	}
	return nil
}

// attainment returns the attainment of a class for each time bin. A bin without
// requests has no point.
func (r *Report) attainment(class string) plotter.XYs {
	if len(r.Points) == 0 {
		return nil
	}
	bin := max(r.Points[len(r.Points)-1].At/attainmentBins, time.Millisecond) + 1
	var all, met [attainmentBins + 1]int
	for _, p := range r.Points {
		if p.Class != class {
			continue
		}
		i := min(int(p.At/bin), attainmentBins)
		all[i]++
		if p.Met {
			met[i]++
		}
	}
	var out plotter.XYs
	for i := range all {
		if all[i] > 0 {
			out = append(out, plotter.XY{X: (time.Duration(i)*bin + bin/2).Seconds(), Y: ratio(met[i], all[i])})
		}
	}
	return out
}
