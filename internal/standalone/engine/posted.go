package engine

// Posted is a Client whose callbacks run through a post function, such as the
// loop of a node's duties.
type Posted struct {
	client Client
	post   func(func())
}

// NewPosted wraps a client.
func NewPosted(client Client, post func(func())) *Posted { return &Posted{client: client, post: post} }

// Start implements Client.
func (p *Posted) Start(address string, request Request, sink func(Event)) func() {
	return p.client.Start(address, request, func(event Event) { p.post(func() { sink(event) }) })
}

// Export implements Client.
func (p *Posted) Export(address, id string) { p.client.Export(address, id) }

// Order implements Client.
func (p *Posted) Order(address string, order Order, done func(Status, error)) {
	p.client.Order(address, order, func(status Status, err error) { p.post(func() { done(status, err) }) })
}

// Status implements Client.
func (p *Posted) Status(address string, done func(Status, error)) {
	p.client.Status(address, func(status Status, err error) { p.post(func() { done(status, err) }) })
}
