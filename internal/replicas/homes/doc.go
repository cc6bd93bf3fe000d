// Package homes decides in which regions a request may be served, held and kept,
// where its route or its tenant names the only ones. It knows no clocks and does
// no input or output.
package homes
