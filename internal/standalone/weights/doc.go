// Package weights rolls out declared weight versions to the engines. For each
// model and region, one lease holder compares the declared versions with those
// that the engines report and sends the missing orders. Versions are staged
// ahead, on a limited number of engines at a time because the weight store is
// rate-limited, and then activated in waves that keep the floor share of every
// traffic group in service. Orders carry the lease's fencing token; an engine
// rejects orders with an older token.
package weights
