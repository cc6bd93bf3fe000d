// Package answer writes the answers of stand-ins that are built on fasthttp.
package answer

import (
	"encoding/json"

	"github.com/valyala/fasthttp"
)

// JSON answers with a body as JSON, or with status 500 if it has no such form.
func JSON(ctx *fasthttp.RequestCtx, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}
