package command

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/pathtally/pathtally/internal/standalone/process"
)

// statusTimeout is the timeout of a status request to one node.
const statusTimeout = 2 * time.Second

// nodeStatus requests the status of one node. Its error is a *StatusError.
func nodeStatus(address string) (process.Status, error) {
	var status process.Status
	code, body, err := nodeClient.GetTimeout(nil, "http://"+address+"/status", statusTimeout)
	if err == nil && code != fasthttp.StatusOK {
		err = &httpStatusError{code: code}
	}
	if err == nil {
		err = json.Unmarshal(body, &status)
	}
	if err != nil {
		return status, &StatusError{Address: address, Cause: err}
	}
	return status, nil
}

// clusterStatus returns the status of a node and of every other node that it reports as
// alive, ordered by name.
func clusterStatus(address string) ([]process.Status, error) {
	first, err := nodeStatus(address)
	if err != nil {
		return nil, err
	}
	statuses := []process.Status{first}
	for _, member := range first.Members {
		if member.State != "alive" || member.ID == first.Node {
			continue
		}
		status, err := nodeStatus(member.HTTP)
		if err != nil {
			return nil, err
		}
		statuses = append(statuses, status)
	}
	slices.SortFunc(statuses, func(a, b process.Status) int { return strings.Compare(a.Node, b.Node) })
	return statuses, nil
}
