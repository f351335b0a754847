package report

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"coursewinch/rehearsal/record"
	"coursewinch/rehearsal/rules"
)

// Palette are the colours of lines in a plot. They can also be told apart by colour-blind readers.
var Palette = []color.RGBA{{0, 114, 178, 255}, {213, 94, 0, 255}, {0, 158, 115, 255}, {204, 121, 167, 255},
	{86, 180, 233, 255}, {230, 159, 0, 255}, {90, 90, 90, 255}, {0, 0, 0, 255}}

// Series is one named line of a plot, with a value for each second.
type Series struct {
	Name string
	Y    []float64
}

// SVG draws lines over the seconds of a run, as SVG text to embed into a page.
func SVG(title, y string, all []Series) (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "second", y
	p.Legend.Top = true
	p.Y.Min = 0
	for i, l := range all {
		points := make(plotter.XYs, len(l.Y))
		for x, v := range l.Y {
			points[x].X, points[x].Y = float64(x), v
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return "", err
		}
		line.Color = Palette[i%len(Palette)]
		line.Width = vg.Points(1.2)
		if i >= len(Palette) {
			line.Dashes = []vg.Length{vg.Points(3), vg.Points(2)}
		}
		p.Add(line)
		p.Legend.Add(l.Name, line)
	}
	return RenderSVG(p, 24*vg.Centimeter, 9*vg.Centimeter)
}

// RenderSVG returns a plot as SVG text without the XML header.
func RenderSVG(p *plot.Plot, width, height vg.Length) (template.HTML, error) {
	w, err := p.WriterTo(width, height, "svg")
	if err != nil {
		return "", err
	}
	var b bytes.Buffer
	if _, err := w.WriteTo(&b); err != nil {
		return "", err
	}
	text := b.Bytes()
	if i := bytes.Index(text, []byte("<svg")); i > 0 {
		text = text[i:]
	}
	return template.HTML(text), nil
}

var pageTemplate = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Sum.Script}}</title>
<style>body{font-family:sans-serif;max-width:62rem;margin:1rem auto;padding:0 1rem}table{border-collapse:collapse}
td,th{padding:.2rem .7rem;text-align:right;border-bottom:1px solid #ccc}td:first-child,th:first-child{text-align:left}
svg{max-width:100%;height:auto}pre{background:#f4f4f4;padding:.5rem;overflow:auto}.bad{color:#b00}</style></head><body>
<h1>{{.Sum.Script}}, seed {{.Sum.Seed}}</h1>
{{if .Sum.Void}}<p class="bad">Void: {{.Sum.Void}}</p>{{end}}
<p>Service {{printf "%.3f" .Sum.Service}}, worst 10 s {{printf "%.3f" .Sum.Worst10}}, worst type {{printf "%.3f" .Sum.WorstType}};
{{.Sum.Flows}} flows; a flow: {{printf "%.2f" .Sum.Connects}} connects, {{printf "%.2f" .Sum.Crossings}} crossings,
{{printf "%.3f" .Sum.Moves}} moves; {{.Sum.Breaks}} breaks. Answers:{{range $k, $v := .Sum.Answers}} {{$k}} {{$v}}{{end}}.</p>
<table><tr><th>service type</th><th>service</th><th>setup p50 ms</th><th>p99 ms</th><th>target ms</th><th>late</th></tr>
{{range .Types}}<tr><td>{{.Name}}</td><td>{{printf "%.3f" .Service}}</td><td>{{printf "%.1f" .Setup.P50}}</td>
<td>{{printf "%.1f" .Setup.P99}}</td><td>{{printf "%.0f" .Setup.Target}}</td><td>{{printf "%.2f" .Setup.Late}}</td></tr>{{end}}</table>
{{range .Plots}}{{.}}{{end}}
<h2>Rules</h2>{{if .Broken}}{{range .Broken}}<pre class="bad">{{.}}</pre>{{end}}{{else}}<p>All kept.</p>{{end}}
</body></html>
`))

// typeRow is the row of a service type in the page's table.
type typeRow struct {
	Name    string
	Service float64
	Setup   Setup
}

// WriteHTML writes a run as one page that needs no other files.
func WriteHTML(w io.Writer, r *record.Run, breaches []rules.Breach) error {
	sum := Summarize(r, breaches)
	data := struct {
		Sum    Summary
		Types  []typeRow
		Plots  []template.HTML
		Broken []string
	}{Sum: sum}
	for _, t := range r.Types {
		data.Types = append(data.Types, typeRow{t.Name, sum.ByType[t.Name], sum.Setup[t.Name]})
	}
	for i, b := range breaches {
		if i == maxPageBreaches {
			data.Broken = append(data.Broken, fmt.Sprintf("and %d more", len(breaches)-i))
			break
		}
		data.Broken = append(data.Broken, b.Report(r))
	}
	for _, part := range []struct {
		title, y string
		lines    []Series
	}{{"Service over time", "share of benefit", serviceSeries(r)}, {"Load a host", "load over capacity", hostLoadSeries(r)},
		{"Answers a second", "flows", answerSeries(r)}} {
		svg, err := SVG(part.title, part.y, part.lines)
		if err != nil {
			return err
		}
		data.Plots = append(data.Plots, svg)
	}
	return pageTemplate.Execute(w, data)
}

// serviceSeries returns the share of the requested benefit that was served, of all service types and of each.
func serviceSeries(r *record.Run) []Series {
	all := []Series{{Name: "all"}}
	for _, t := range r.Types {
		all = append(all, Series{Name: t.Name})
	}
	for _, s := range r.Seconds {
		wanted, served := 0.0, 0.0
		for t := range r.Types {
			wanted, served = wanted+s.Requested[t], served+s.Served[t]
			all[t+1].Y = append(all[t+1].Y, ratio(s.Served[t], s.Requested[t]))
		}
		all[0].Y = append(all[0].Y, ratio(served, wanted))
	}
	return all
}

// ratio returns the share of a part in a whole, or 1 if the whole is 0.
func ratio(part, whole float64) float64 {
	if whole == 0 {
		return 1
	}
	return part / whole
}

const (
	maxPageBreaches = 20
	maxPlottedHosts = 16 // of more hosts, the most loaded ones are plotted
	maxPlottedLoad  = 3  // load over capacity
)

// hostLoadSeries returns the load of hosts.
func hostLoadSeries(r *record.Run) []Series {
	var all []Series
	for _, h := range r.Hosts {
		load := make([]float64, len(h.Load))
		for i, v := range h.Load {
			load[i] = min(v, maxPlottedLoad)
		}
		if len(load) > 0 {
			all = append(all, Series{h.Name, load})
		}
	}
	if len(all) > maxPlottedHosts {
		slices.SortStableFunc(all, func(x, y Series) int {
			if slices.Max(x.Y) > slices.Max(y.Y) {
				return -1
			}
			return 1
		})
		all = all[:maxPlottedHosts]
	}
	return all
}

// answerSeries returns how many flows had each outcome.
func answerSeries(r *record.Run) []Series {
	byOutcome := map[string][]float64{}
	for _, f := range r.Flows {
		outcome, at := f.Outcome()
		second := int(at / 1e6)
		if at < 0 || second > int(r.Length/1e6) {
			continue
		}
		if byOutcome[outcome] == nil {
			byOutcome[outcome] = make([]float64, r.Length/1e6+1)
		}
		byOutcome[outcome][second]++
	}
	var all []Series
	for _, outcome := range outcomeOrder {
		if y := byOutcome[outcome]; y != nil {
			all = append(all, Series{outcome, y})
		}
	}
	return all
}
