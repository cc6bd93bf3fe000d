package command

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/valyala/fasthttp"

	v1 "github.com/pathtally/pathtally/api/v1"
	"github.com/pathtally/pathtally/internal/standalone/configwriter"
	"github.com/pathtally/pathtally/internal/standalone/process"
)

const statusTimeout = 2 * time.Second

// StatusError is a node whose status could not be read.
type StatusError struct {
	Address string
	Cause   error
}

// Error names the node's address and the cause.
func (e *StatusError) Error() string { return fmt.Sprintf("node at %s: %v", e.Address, e.Cause) }

// Unwrap returns the cause.
func (e *StatusError) Unwrap() error { return e.Cause }

func nodeStatus(address string) (process.Status, error) {
	var status process.Status
	code, body, err := fasthttp.GetTimeout(nil, "http://"+address+"/status", statusTimeout)
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

// clusterStatus asks one node, and then every node that it knows as alive.
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

func runStatus(context *invocation) error {
	address := context.flags.String("node-address", "127.0.0.1:8001", "HTTP address of any node")
	form := context.flags.String("o", formTable, "json or table")
	if _, err := context.parse(); err != nil {
		return usageError(err)
	}
	statuses, err := clusterStatus(*address)
	if err != nil {
		return err
	}
	if *form == formJSON {
		data, err := json.MarshalIndent(statuses, "", "  ")
		if err != nil {
			return err
		}
		fmt.Fprintln(context.stdout, string(data))
		return nil
	}
	table := tabwriter.NewWriter(context.stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "NODE\tZONE\tREADY\tSTOPPING\tGENERATION\tIN FLIGHT\tLEASES")
	for _, status := range statuses {
		fmt.Fprintf(table, "%s\t%s\t%v\t%v\t%d\t%d\t%s\n", status.Node, status.Zone, status.Ready, status.Stopping, status.Generation, status.InFlight, strings.Join(status.Leases, " "))
	}
	fmt.Fprintln(table, "\nENGINE\tZONE\tMODEL\tVERSION\tRUNNING\tWAITING\tEXCLUDED")
	for _, engine := range statuses[0].Engines {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%d\t%v\n", engine.Name, engine.Zone, engine.Model, engine.Version, engine.Running, engine.Waiting, engine.Excluded)
	}
	return table.Flush()
}

// runDrain begins the planned stop of a node, or cordons an engine.
func runDrain(context *invocation) error {
	address := context.flags.String("node-address", "127.0.0.1:8001", "HTTP address of any node")
	platform := context.flags.String("platform", defaultPlatform, "address of the object API")
	words, err := context.parse()
	if err != nil {
		return usageError(err)
	}
	if len(words) != 1 {
		return &UsageError{Message: "expected the name of one node or engine"}
	}
	statuses, err := clusterStatus(*address)
	if err != nil {
		return err
	}
	for _, status := range statuses {
		if status.Node == words[0] {
			return drainNode(context, statuses[0], status.Node)
		}
	}
	return cordonEngine(context, *platform, words[0])
}

func drainNode(context *invocation, seenBy process.Status, name string) error {
	for _, member := range seenBy.Members {
		if member.ID != name {
			continue
		}
		code, _, err := fasthttp.Post(nil, "http://"+member.HTTP+"/drain", nil)
		if err == nil && code != fasthttp.StatusOK {
			err = &httpStatusError{code: code}
		}
		if err != nil {
			return &StatusError{Address: member.HTTP, Cause: err}
		}
		fmt.Fprintf(context.stdout, "node %s is draining\n", name)
	}
	return nil
}

func cordonEngine(context *invocation, platform, name string) error {
	writer, err := configwriter.NewBlocking(platform)
	if err != nil {
		return err
	}
	defer writer.Close()
	key := v1.Key{Kind: v1.KindEngine, Name: name}
	result, err := writer.WriteRebased(func(current *v1.Set) (*v1.Set, error) {
		standing, found := current.Get(key).(*v1.Engine)
		if !found {
			return nil, &NotFoundError{Key: key}
		}
		cordoned := *standing
		cordoned.Spec.Cordoned = true
		return current.Merge(v1.NewSet(&cordoned)), nil
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(context.stdout, "engine %s is cordoned in generation %d\n", name, result.Generation)
	return nil
}

// httpStatusError is an HTTP answer other than 200.
type httpStatusError struct{ code int }

// Error names the status.
func (e *httpStatusError) Error() string { return fmt.Sprintf("HTTP status %d", e.code) }
