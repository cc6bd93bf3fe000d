package command

import (
	"fmt"

	"github.com/valyala/fasthttp"

	v1 "github.com/pathtally/pathtally/api/v1"
	"github.com/pathtally/pathtally/internal/standalone/configwriter"
	"github.com/pathtally/pathtally/internal/standalone/process"
)

// runDrain starts the graceful shutdown of a node, or cordons an engine.
func runDrain(call *invocation) error {
	address := call.flags.String("node-address", defaultNode, "HTTP address of any node")
	platform := call.flags.String("platform", defaultPlatform, "address of the object API")
	words, err := call.parse()
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
			return drainNode(call, statuses[0], status.Node)
		}
	}
	return cordonEngine(call, *platform, words[0])
}

func drainNode(call *invocation, seenBy process.Status, name string) error {
	for _, member := range seenBy.Members {
		if member.ID != name {
			continue
		}
		code, _, err := nodeClient.Post(nil, "http://"+member.HTTP+"/drain", nil)
		if err == nil && code != fasthttp.StatusOK {
			err = &httpStatusError{code: code}
		}
		if err != nil {
			return &StatusError{Address: member.HTTP, Cause: err}
		}
		fmt.Fprintf(call.stdout, "node %s is draining\n", name)
	}
	return nil
}

func cordonEngine(call *invocation, platform, name string) error {
	writer, err := configwriter.NewBlocking(platform)
	if err != nil {
		return err
	}
	defer writer.Close()
	key := v1.Key{Kind: v1.KindEngine, Name: name}
	result, err := writer.WriteRebased(func(current *v1.Set) (*v1.Set, error) {
		declared, found := current.Get(key).(*v1.Engine)
		if !found {
			return nil, &NotFoundError{Key: key}
		}
		cordoned := *declared
		cordoned.Spec.Cordoned = true
		return current.Merge(v1.NewSet(&cordoned)), nil
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(call.stdout, "engine %s is cordoned in generation %d\n", name, result.Generation)
	return nil
}
