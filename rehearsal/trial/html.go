package trial

import (
	"fmt"
	"html/template"
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"coursewinch/rehearsal/report"
)

var pageTemplate = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Experiment</title>
<style>body{font-family:sans-serif;max-width:70rem;margin:1rem auto;padding:0 1rem}table{border-collapse:collapse}
td,th{padding:.2rem .6rem;text-align:right;border-bottom:1px solid #ccc}td:first-child,th:first-child{text-align:left}
svg{max-width:100%;height:auto}.bad{color:#b00}</style></head><body><h1>Experiment, {{.Seeds}} seeds</h1>
{{range .Scripts}}<h2>{{.Name}}</h2><table><tr><th>variant</th><th>service</th><th>difference (95 %)</th><th>worst 10 s</th>
<th>worst type</th><th>connects</th><th>crossings</th><th>moves</th><th>rejected</th><th>rules broken</th></tr>
{{range .Rows}}<tr><td>{{.Variant}}</td><td>{{printf "%.3f" (index .Mean "service")}}</td><td>{{.Difference}}</td>
<td>{{printf "%.3f" (index .Mean "worst_10s")}}</td><td>{{printf "%.3f" (index .Mean "worst_type")}}</td>
<td>{{printf "%.2f" (index .Mean "connects")}}</td><td>{{printf "%.2f" (index .Mean "crossings")}}</td>
<td>{{printf "%.3f" (index .Mean "moves")}}</td><td>{{printf "%.3f" (index .Mean "rejected")}}</td>
<td class="bad">{{.Broken}}</td></tr>{{end}}</table>{{.Plot}}{{end}}</body></html>
`))

type row struct {
	Result
	Difference, Broken string
}

type section struct {
	Name string
	Rows []row
	Plot template.HTML
}

// HTML writes an experiment as one page that opens without a network.
func HTML(w io.Writer, cells []Result, seeds int) error {
	var all []section
	for i := 0; i < len(cells); {
		s := section{Name: cells[i].Script}
		from := i
		for ; i < len(cells) && cells[i].Script == s.Name; i++ {
			r := row{Result: cells[i], Broken: breachSummary(cells[i])}
			if d, ok := cells[i].Diff["service"]; ok {
				r.Difference = fmt.Sprintf("%+.3f (%+.3f to %+.3f)", d.Mean, d.Low, d.High)
			}
			s.Rows = append(s.Rows, r)
		}
		svg, err := serviceBoxPlot(cells[from:i])
		if err != nil {
			return err
		}
		s.Plot = svg
		all = append(all, s)
	}
	return pageTemplate.Execute(w, struct {
		Seeds   int
		Scripts []section
	}{seeds, all})
}

// serviceBoxPlot shows how service is spread over the seeds.
func serviceBoxPlot(cells []Result) (template.HTML, error) {
	p := plot.New()
	p.Y.Label.Text = "service"
	var names []string
	for i, c := range cells {
		var v plotter.Values
		for _, r := range c.Runs {
			v = append(v, r.Service)
		}
		box, err := plotter.NewBoxPlot(vg.Points(18), float64(i), v)
		if err != nil {
			return "", err
		}
		box.FillColor = report.Colours[i%len(report.Colours)]
		p.Add(box)
		names = append(names, c.Variant)
	}
	p.NominalX(names...)
	return report.Draw(p, 22*vg.Centimeter, 7*vg.Centimeter)
}
