package process

import (
	"time"
)

// Stop is the planned stop: the node hands over its duties, then refuses new
// requests while those in progress end, at most for the grace of its settings,
// and closes.
func (p *Process) Stop() {
	p.stopOnce.Do(func() {
		p.logger.Info("planned stop begun")
		handed := make(chan struct{})
		p.loop.Post(func() { p.core.Stop(func() { close(handed) }) })
		limit := time.Now().Add(p.settings.Grace.Std())
		p.server.Stop()
		<-handed
		for p.server.InFlight() > 0 && time.Now().Before(limit) {
			time.Sleep(drainPollInterval)
		}
		p.logger.Info("planned stop ended", "cut", p.server.InFlight())
		p.server.Linger(lingerLimit)
		p.close()
	})
}

// Kill ends the node at once, as a crash does.
func (p *Process) Kill() { p.stopOnce.Do(p.close) }

func (p *Process) close() {
	p.run(p.core.Kill)
	p.transport.Close()
	if err := p.server.Shutdown(); err != nil {
		p.logger.Error(err, "HTTP shutdown")
	}
	<-p.served
	if p.log != nil {
		p.log.Close()
	}
	p.loop.Close()
	p.engines.Close()
	p.objects.Close()
	p.scorer.Close()
	close(p.drained)
}

// Drained is closed when a planned stop has ended.
func (p *Process) Drained() <-chan struct{} { return p.drained }

// WaitReady polls until the node is ready, for tests and the development
// command; it tells whether that was so within the limit.
func (p *Process) WaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(drainPollInterval) {
		if p.Ready() {
			return true
		}
	}
	return false
}
