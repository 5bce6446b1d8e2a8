package status

import (
	_ "embed"
	"html/template"
	"net/http"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Parse(pageText))

// servePage shows the overview as plain HTML that loads itself anew.
func servePage(w http.ResponseWriter, r *http.Request, f Fleet, waves Waves) {
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	o := Look(r.Context(), f, waves)
	_ = page.Execute(w, &o)
}
