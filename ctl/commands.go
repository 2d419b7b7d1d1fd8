package ctl

const toolHelp = `Sends requests and load as a caller, and drives the bundle as an operator.

Exit codes: 0 success, 1 failure such as a cut answer, 2 wrong usage or input file, 3 refused by a daemon, 4 no daemon reachable.

Completion for bash: source <(jacinththreadctl completion bash)`

// spec describes a command: its help and the struct of its options.
type spec struct {
	name, short, long string
	examples          string
	data              any
	subs              []spec
}

// group holds the subcommands of a command that does nothing itself.
type group struct{}

func commands() []spec {
	specs := []spec{bundleSpec(), entriesSpec(), sendSpec(), loadSpec(), reportSpec(), completionSpec()}
	return append(specs, listSpecs()...)
}

func entriesSpec() spec {
	return spec{
		name:  "entries",
		short: "Show the addresses that callers should use",
		long:  "Asks GET /v1/entries.",
		examples: `  jacinththreadctl --url http://127.0.0.1:21101 entries
`,
		data: &entriesCommand{},
	}
}

func sendSpec() spec {
	return spec{
		name:  "send",
		short: "Send one request by hand",
		long: "Asks for an entry address, sends one request to it and prints the answer as it comes. " +
			"The request id, run state and times go to standard error, or into the document with --json.",
		examples: `  jacinththreadctl send --model assistant --class counter "What is the fee for 12 kW?"
  jacinththreadctl send --service permohonan-app --path fees --idempotency-key fee-4711 --body @fee.json
  jacinththreadctl --json send --service permohonan-app --method GET --path status/4711
`,
		data: &sendCommand{},
	}
}

func loadSpec() spec {
	return spec{
		name:  "load",
		short: "Send an open-loop load and report attainment, goodput and wasted work",
		long: "Sends requests at the times that the workload file gives, whether earlier ones have been answered or not. " +
			"Times count from the planned arrival of a request. Attainment is the share of all offered requests that were " +
			"completed within their targets; wasted tokens are those of answers that were never completed. " +
			"Each piece of a stream counts as one token.",
		examples: `  jacinththreadctl load examples/utility/workload.jsonc
  jacinththreadctl --json load --quiet examples/utility/workload.jsonc > report.json
`,
		data: &loadCommand{},
	}
}

func completionSpec() spec {
	return spec{
		name:  "completion",
		short: "Print the completion script of a shell",
		examples: `  source <(jacinththreadctl completion bash)
`,
		data: &completionCommand{},
	}
}
