package status

import (
	_ "embed"
	"html/template"
	"net/http"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Parse(pageText))

// servePage serves the overview as an HTML page that reloads itself.
func servePage(w http.ResponseWriter, r *http.Request, f Fleet, waves Waves) {
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	o := Collect(r.Context(), f, waves)
	_ = page.Execute(w, &o)
}
