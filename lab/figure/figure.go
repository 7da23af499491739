// Package figure plots a run: the latency of its requests and the answers per
// second of each target over time, with the disruptions marked.
package figure

import (
	"image/color"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Sample describes a finished request.
type Sample struct {
	// At is the time from the start of the run to the end of the request.
	At      time.Duration
	Latency time.Duration
	// Target is the target that answered the request.
	Target string
}

// Mark is a labelled disruption at the time At after the start of the run.
type Mark struct {
	At    time.Duration
	Label string
}

const (
	width, height = 24 * vg.Centimeter, 18 * vg.Centimeter
	// countInterval is the interval over which the answers of a target are
	// counted.
	countInterval = 500 * time.Millisecond
	dotRadius     = 1.2
)

// Draw writes the plots to a file, as SVG or PNG by the file extension.
func Draw(file string, samples []Sample, marks []Mark) error {
	latency, err := latencyPlot(samples, marks)
	if err != nil {
		return trace.Wrap(err)
	}
	load, err := loadPlot(samples, marks)
	if err != nil {
		return trace.Wrap(err)
	}
	f, err := os.Create(file)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer f.Close()
	plots := [][]*plot.Plot{{latency}, {load}}
	switch strings.ToLower(filepath.Ext(file)) {
	case ".svg":
		c := vgsvg.New(width, height)
		drawPlots(plots, draw.New(c))
		_, err = c.WriteTo(f)
	case ".png":
		c := vgimg.New(width, height)
		drawPlots(plots, draw.New(c))
		_, err = vgimg.PngCanvas{Canvas: c}.WriteTo(f)
	default:
		err = trace.BadParameter("unsupported figure file %s: want a name that ends with .svg or .png", file)
	}
	return trace.Wrap(err)
}

func drawPlots(plots [][]*plot.Plot, c draw.Canvas) {
	tiles := draw.Tiles{Rows: len(plots), Cols: 1, PadY: vg.Centimeter / 2}
	for i, row := range plot.Align(plots, tiles, c) {
		plots[i][0].Draw(row[0])
	}
}

func latencyPlot(samples []Sample, marks []Mark) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "Latency of finished requests"
	p.X.Label.Text, p.Y.Label.Text = "time (s)", "latency (ms)"
	points := make(plotter.XYs, len(samples))
	for i, s := range samples {
		points[i] = plotter.XY{X: s.At.Seconds(), Y: float64(s.Latency) / float64(time.Millisecond)}
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return nil, err
	}
	scatter.GlyphStyle = draw.GlyphStyle{Shape: draw.CircleGlyph{}, Radius: dotRadius, Color: color.NRGBA{B: 160, A: 255}}
	p.Add(scatter)
	return p, addMarks(p, marks, points)
}

func loadPlot(samples []Sample, marks []Mark) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "Answers per target"
	p.X.Label.Text, p.Y.Label.Text = "time (s)", "answers per second"
	counts := map[string]map[int]float64{}
	last := 0
	for _, s := range samples {
		if counts[s.Target] == nil {
			counts[s.Target] = map[int]float64{}
		}
		bucket := int(s.At / countInterval)
		counts[s.Target][bucket] += 1 / countInterval.Seconds()
		last = max(last, bucket)
	}
	var all plotter.XYs
	for i, target := range slices.Sorted(maps.Keys(counts)) {
		line := make(plotter.XYs, last+1)
		for bucket := range line {
			line[bucket] = plotter.XY{X: (time.Duration(bucket) * countInterval).Seconds(), Y: counts[target][bucket]}
		}
		l, err := plotter.NewLine(line)
		if err != nil {
			return nil, err
		}
		l.Color, l.Dashes = plotutil.Color(i), plotutil.Dashes(i/len(plotutil.DefaultColors))
		p.Add(l)
		p.Legend.Add(target, l)
		all = append(all, line...)
	}
	p.Legend.Top, p.Legend.Left = true, true
	return p, addMarks(p, marks, all)
}

// addMarks draws a labelled vertical line at each mark, up to the highest of
// the points.
func addMarks(p *plot.Plot, marks []Mark, points plotter.XYs) error {
	top := 0.0
	for _, xy := range points {
		top = max(top, xy.Y)
	}
	for i, m := range marks {
		x := m.At.Seconds()
		l, err := plotter.NewLine(plotter.XYs{{X: x}, {X: x, Y: top}})
		if err != nil {
			return err
		}
		l.Color = color.NRGBA{R: 200, A: 255}
		p.Add(l)
		// Labels of adjacent marks have different heights, so that they do not
		// overlap.
		const steps = 4
		label, err := plotter.NewLabels(plotter.XYLabels{
			XYs: plotter.XYs{{X: x, Y: top * float64(steps-i%steps) / steps}}, Labels: []string{" " + m.Label},
		})
		if err != nil {
			return err
		}
		p.Add(label)
	}
	return nil
}
