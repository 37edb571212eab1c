package main

import (
	"bytes"
	"fmt"
)

// curve is the worth of one run by window.
type curve struct {
	panel, policy string
	values        []float64
}

// Sizes of the plot in pixels.
const (
	panelWidth, panelHeight = 420, 180
	margin                  = 36
)

var colours = map[string]string{"random": "#999999", "two-choices": "#d08000", "ours": "#0060c0", "knowing": "#208020"}

// plot returns an SVG with one panel per site and load, two in a row.
func plot(curves []curve) []byte {
	var panels []string
	byPanel := map[string][]curve{}
	for _, c := range curves {
		if byPanel[c.panel] == nil {
			panels = append(panels, c.panel)
		}
		byPanel[c.panel] = append(byPanel[c.panel], c)
	}
	var b bytes.Buffer
	rows := (len(panels) + 1) / 2
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="11">`+"\n", 2*panelWidth, rows*panelHeight)
	for i, name := range panels {
		fmt.Fprintf(&b, `<g transform="translate(%d,%d)">`+"\n", i%2*panelWidth, i/2*panelHeight)
		fmt.Fprintf(&b, `<text x="%d" y="16">%s: worth per 2 s</text>`+"\n", margin, name)
		for k, c := range byPanel[name] {
			drawCurve(&b, c, k)
		}
		fmt.Fprintln(&b, "</g>")
	}
	fmt.Fprintln(&b, "</svg>")
	return b.Bytes()
}

func drawCurve(b *bytes.Buffer, c curve, k int) {
	width, height := float64(panelWidth-2*margin), float64(panelHeight-2*margin)
	fmt.Fprintf(b, `<polyline fill="none" stroke="%s" stroke-width="1.5" points="`, colours[c.policy])
	for i, v := range c.values {
		fmt.Fprintf(b, "%.1f,%.1f ", margin+width*float64(i)/float64(max(len(c.values)-1, 1)), margin+height*(1-v))
	}
	fmt.Fprintf(b, `"/>`+"\n"+`<text x="%d" y="%d" fill="%s">%s</text>`+"\n", margin+k*90, panelHeight-8, colours[c.policy], c.policy)
}
