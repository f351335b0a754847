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

// row is the row of a variant in a table of the page.
type row struct {
	Result
	Difference, Broken string
}

// section is the part of the page about one script.
type section struct {
	Name string
	Rows []row
	Plot template.HTML
}

// WriteHTML writes the results of an experiment as one page that needs no other files.
func WriteHTML(w io.Writer, results []Result, seeds int) error {
	var all []section
	for i := 0; i < len(results); {
		s := section{Name: results[i].Script}
		from := i
		for ; i < len(results) && results[i].Script == s.Name; i++ {
			variantRow := row{Result: results[i], Broken: breachSummary(results[i])}
			if d, ok := results[i].Diff["service"]; ok {
				variantRow.Difference = fmt.Sprintf("%+.3f (%+.3f to %+.3f)", d.Mean, d.Low, d.High)
			}
			s.Rows = append(s.Rows, variantRow)
		}
		svg, err := serviceBoxPlot(results[from:i])
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

// serviceBoxPlot draws the distribution of service over the seeds, for each variant.
func serviceBoxPlot(results []Result) (template.HTML, error) {
	p := plot.New()
	p.Y.Label.Text = "service"
	var names []string
	for i, result := range results {
		var services plotter.Values
		for _, r := range result.Runs {
			services = append(services, r.Service)
		}
		box, err := plotter.NewBoxPlot(vg.Points(18), float64(i), services)
		if err != nil {
			return "", err
		}
		box.FillColor = report.Palette[i%len(report.Palette)]
		p.Add(box)
		names = append(names, result.Variant)
	}
	p.NominalX(names...)
	return report.RenderSVG(p, 22*vg.Centimeter, 7*vg.Centimeter)
}
