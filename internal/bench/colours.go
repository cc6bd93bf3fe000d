package bench

import "image/color"

// colours tell the lines of a chart apart.
var colours = []color.Color{
	color.RGBA{R: 200, A: 255}, color.RGBA{B: 200, A: 255}, color.RGBA{G: 140, A: 255}, color.RGBA{R: 160, G: 90, A: 255}, color.Gray{Y: 90},
}
