package command

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/pathtally/pathtally/internal/standalone/process"
)

// defaultNode is the HTTP address of the first node in the examples.
const defaultNode = "127.0.0.1:8001"

func runStatus(call *invocation) error {
	address := call.flags.String("node-address", defaultNode, "HTTP address of any node")
	format := call.flags.String("o", formatTable, "json or table")
	if _, err := call.parse(); err != nil {
		return usageError(err)
	}
	statuses, err := clusterStatus(*address)
	if err != nil {
		return err
	}
	if *format == formatJSON {
		return printStatusJSON(call.stdout, statuses)
	}
	return printStatusTables(call.stdout, statuses)
}

func printStatusJSON(writer io.Writer, statuses []process.Status) error {
	data, err := json.MarshalIndent(statuses, "", "  ")
	if err != nil {
		return err
	}
	fmt.Fprintln(writer, string(data))
	return nil
}

// printStatusTables prints all nodes, and the engines as reported by the first node.
func printStatusTables(writer io.Writer, statuses []process.Status) error {
	table := tabwriter.NewWriter(writer, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "NODE\tZONE\tREADY\tSTOPPING\tGENERATION\tIN FLIGHT\tLEASES")
	for _, status := range statuses {
		fmt.Fprintf(table, "%s\t%s\t%v\t%v\t%d\t%d\t%s\n",
			status.Node, status.Zone, status.Ready, status.Stopping, status.Generation, status.InFlight, strings.Join(status.Leases, " "))
	}
	fmt.Fprintln(table, "\nENGINE\tZONE\tMODEL\tVERSION\tRUNNING\tWAITING\tEXCLUDED")
	for _, engine := range statuses[0].Engines {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%d\t%v\n",
			engine.Name, engine.Zone, engine.Model, engine.Version, engine.Running, engine.Waiting, engine.Excluded)
	}
	return table.Flush()
}
