package ctl

const toolHelp = `Sends requests and load as a caller, and manages the bundle as an operator.

Exit codes: 0 success, 1 failure such as an incomplete response, 2 invalid command line or input file, 3 error response from a daemon, 4 no daemon reachable.

Completion for bash: source <(jacinththreadctl completion bash)`

// commandSpec describes a command: its help texts, the struct of its options and
// its subcommands.
type commandSpec struct {
	name, short, long string
	examples          string
	data              any
	subs              []commandSpec
}

// commandGroup is the options struct of a command that only has subcommands.
type commandGroup struct{}

func commands() []commandSpec {
	specs := []commandSpec{bundleSpec(), entriesSpec(), sendSpec(), loadSpec(), reportSpec(), completionSpec()}
	specs = append(specs, listSpecs()...)
	return append(specs, entrySpecs()...)
}

func entriesSpec() commandSpec {
	return commandSpec{
		name:  "entries",
		short: "Show the addresses that callers should use",
		long:  "Requests GET /v1/entries.",
		examples: `  jacinththreadctl --url http://127.0.0.1:21101 entries
`,
		data: &entriesCommand{},
	}
}

func sendSpec() commandSpec {
	return commandSpec{
		name:  "send",
		short: "Send one request",
		long: "Looks up an entry address, sends one request to it and prints the response as it arrives. " +
			"The request id, run state and times are printed on standard error, or are part of the document with --json.",
		examples: `  jacinththreadctl send --model assistant --class counter "What is the fee for 12 kW?"
  jacinththreadctl send --service permohonan-app --path fees --idempotency-key fee-4711 --body @fee.json
  jacinththreadctl --json send --service permohonan-app --method GET --path status/4711
`,
		data: &sendCommand{},
	}
}

func loadSpec() commandSpec {
	return commandSpec{
		name:  "load",
		short: "Send an open-loop load and report attainment, goodput and wasted work",
		long: "Sends requests at the arrival times of the workload file, without waiting for earlier responses. " +
			"Latencies are measured from the planned arrival time of a request. Attainment is the share of all offered requests that were " +
			"completed within their targets; wasted tokens are those of responses that were never completed. " +
			"Each content chunk of a stream counts as one token.",
		examples: `  jacinththreadctl load examples/utility/workload.jsonc
  jacinththreadctl --json load --quiet examples/utility/workload.jsonc > report.json
`,
		data: &loadCommand{},
	}
}

func completionSpec() commandSpec {
	return commandSpec{
		name:  "completion",
		short: "Print the shell completion script",
		examples: `  source <(jacinththreadctl completion bash)
`,
		data: &completionCommand{},
	}
}
