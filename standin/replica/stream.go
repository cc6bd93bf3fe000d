package replica

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// stream sends the events of a generation after event number after.
func (s *Server) stream(writer http.ResponseWriter, request *http.Request, after, number int, version int64, faults Faults) {
	header := writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Pathtally-Weight-Versions", strconv.FormatInt(version, 10))
	writer.WriteHeader(http.StatusOK)
	id := request.Header.Get("Pathtally-Request-Id")
	count := EventCount(id)
	for event := after + 1; event <= count; event++ {
		select {
		case <-request.Context().Done():
			return
		case <-time.After(s.config.EventInterval):
		}
		if every(faults.TruncateEvery, number) && event == after+2 {
			fmt.Fprintf(writer, "id: %d\nda", event)
			http.NewResponseController(writer).Flush()
			panic(http.ErrAbortHandler)
		}
		if now := s.Version(); now != version {
			version = now
			fmt.Fprintf(writer, "pathtally-weight-versions: %d\n", version)
		}
		fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", event, EventData(id, event))
		http.NewResponseController(writer).Flush()
	}
}

// EventCount returns the number of events of a request's generation.
func EventCount(id string) int { return 2 + len(id)%3 }

// EventData returns the data of one event of a request.
func EventData(id string, event int) string { return fmt.Sprintf("%s-%d", id, event) }

// Text returns the data of all events of a request, one per line.
func Text(id string) string {
	parts := make([]string, 0, EventCount(id))
	for event := 1; event <= EventCount(id); event++ {
		parts = append(parts, EventData(id, event))
	}
	return strings.Join(parts, "\n")
}
