package metastore

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// objectsPath is the path prefix of the store's API.
const objectsPath = "/-/objects/"

// maxWatchWait is the maximum time that a watch waits for changes.
const maxWatchWait = 30 * time.Second

// Server serves a Store over HTTP with the protocol of the metadata store.
type Server struct{ Store *Store }

type wireObject struct {
	Metadata wireMetadata    `json:"metadata"`
	Spec     json.RawMessage `json:"spec,omitempty"`
	Status   json.RawMessage `json:"status,omitempty"`
}

type wireMetadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Made       uint64   `json:"made"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

func toWire(object objectstore.Object) wireObject {
	return wireObject{Metadata: wireMetadata{Name: object.Name, Revision: object.Revision}, Spec: encodable(object.Spec), Status: object.Status}
}

// rawSpec matches the text that replaces a spec which package json cannot encode.
var rawSpec = regexp.MustCompile(`"raw spec ([0-9a-f]+)"`)

// encodable returns a spec, or a text that stands for it if package json cannot encode it.
func encodable(spec json.RawMessage) json.RawMessage {
	if len(spec) == 0 || json.Valid(spec) {
		return spec
	}
	return fmt.Appendf(nil, `"raw spec %x"`, []byte(spec))
}

// restoreRaw replaces the texts that encodable returned by the specs.
func restoreRaw(encoded []byte) []byte {
	return rawSpec.ReplaceAllFunc(encoded, func(text []byte) []byte {
		spec, err := hex.DecodeString(string(rawSpec.FindSubmatch(text)[1]))
		if err != nil {
			return text
		}
		return spec
	})
}

type wireEvent struct {
	Gone   bool       `json:"gone"`
	Object wireObject `json:"object"`
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	path, isObjects := strings.CutPrefix(request.URL.Path, objectsPath)
	if !isObjects {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	kind, rest, _ := strings.Cut(path, "/")
	name, part, _ := strings.Cut(rest, "/")
	ctx := request.Context()
	query := request.URL.Query()
	switch {
	case request.Method == http.MethodGet && query.Has("watch"):
		s.handleWatch(ctx, writer, kind, query.Get("watch"), query.Get("waitMs"))
	case request.Method == http.MethodGet && name == "":
		page, err := s.Store.List(ctx, kind, query.Get("sinceRev"), objectstore.Linearizable)
		listed := make([]wireObject, 0, len(page.Objects))
		for _, object := range page.Objects {
			listed = append(listed, toWire(object))
		}
		writeResponse(writer, map[string]any{"requests": listed, "more": page.More, "at": page.Revision}, err)
	case request.Method == http.MethodGet:
		object, err := s.Store.Get(ctx, kind, name, objectstore.Linearizable)
		writeResponse(writer, toWire(object), err)
	case request.Method == http.MethodDelete:
		revision, _ := strconv.ParseUint(query.Get("revision"), 10, 64)
		writeResponse(writer, wireObject{}, s.Store.Delete(ctx, kind, name, revision))
	default:
		s.handleWrite(ctx, writer, request, kind, name, part)
	}
}

func (s *Server) handleWatch(ctx context.Context, writer http.ResponseWriter, kind, from, wait string) {
	revision, _ := strconv.ParseUint(from, 10, 64)
	milliseconds, _ := strconv.Atoi(wait)
	changes, err := s.Store.Watch(ctx, kind, revision, min(time.Duration(milliseconds)*time.Millisecond, maxWatchWait))
	events := make([]wireEvent, 0, len(changes.Events))
	for _, change := range changes.Events {
		events = append(events, wireEvent{Gone: change.Deleted, Object: toWire(change.Object)})
	}
	writeResponse(writer, map[string]any{"events": events, "at": changes.Revision}, err)
}

// handleWrite handles a create, replace or status call.
func (s *Server) handleWrite(ctx context.Context, writer http.ResponseWriter, request *http.Request, kind, name, part string) {
	var body wireObject
	if err := json.NewDecoder(request.Body).Decode(&body); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	var object objectstore.Object
	var err error
	switch {
	case request.Method == http.MethodPost:
		object, err = s.Store.Create(ctx, kind, body.Metadata.Name, body.Spec)
	case request.Method == http.MethodPut && part == "status":
		object, err = s.Store.ReplaceStatus(ctx, kind, name, body.Status, body.Metadata.Revision)
	case request.Method == http.MethodPut:
		object, err = s.Store.Replace(ctx, kind, name, body.Spec, body.Metadata.Revision)
	default:
		writer.WriteHeader(http.StatusMethodNotAllowed)
		return
	}
	writeResponse(writer, toWire(object), err)
}

// writeResponse writes the result of a call. If the response of the call is lost, it aborts
// the connection.
func writeResponse(writer http.ResponseWriter, result any, err error) {
	var conflict *objectstore.ConflictError
	var refused *objectstore.RefusedError
	status := http.StatusOK
	switch {
	case err == nil:
	case errors.Is(err, objectstore.ErrNotFound):
		status = http.StatusNotFound
	case errors.Is(err, objectstore.ErrHistoryGone):
		status = http.StatusGone
	case errors.As(err, &conflict):
		status, result = http.StatusConflict, toWire(conflict.Current)
	case errors.As(err, &refused):
		status = http.StatusServiceUnavailable
	default:
		panic(http.ErrAbortHandler)
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	encoded, err := json.Marshal(result)
	if err != nil {
		panic(err)
	}
	writer.Write(restoreRaw(encoded))
}
