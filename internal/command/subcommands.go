package command

// subcommand is one subcommand of pathtally.
type subcommand struct {
	name     string
	synopsis string
	example  string
	run      func(call *invocation) error
}

func subcommands() []subcommand {
	return []subcommand{
		{"node", "run a node", "pathtally node -settings examples/separate/node-1.yaml", runNode},
		{"validate", "check a folder of objects", "pathtally validate -f examples/kotuku", runValidate},
		{"diff", "show what apply would change", "pathtally diff -f examples/kotuku -platform 127.0.0.1:7000", runDiff},
		{"apply", "make a folder of objects the configuration", "pathtally apply -f examples/kotuku -platform 127.0.0.1:7000 -wait -node-address 127.0.0.1:8001", runApply},
		{"get", "show objects of the configuration in force", "pathtally get Engine -l zone=auckland-a -o yaml -platform 127.0.0.1:7000", runGet},
		{"status", "show the nodes and engines", "pathtally status -node-address 127.0.0.1:8001", runStatus},
		{"drain", "begin the planned stop of a node, or cordon an engine", "pathtally drain node-2 -node-address 127.0.0.1:8001 -platform 127.0.0.1:7000", runDrain},
		{"version", "show the version", "pathtally version", runVersion},
	}
}
