// Package admission decides at once whether a request may start: a rate, a
// bound on requests in flight, and a bounded queue ordered by priority. What
// is refused gets a typed error that says when to come back. It also keeps
// the retry budgets, a share of recent successes.
package admission
