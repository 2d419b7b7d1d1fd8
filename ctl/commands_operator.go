package ctl

func bundleSpec() commandSpec {
	return commandSpec{
		name:  "bundle",
		short: "Propose, review, approve and roll bundle versions",
		long: "A change is proposed, reviewed, approved by another operator and rolled. " +
			"Each step can be retried with the same change id.",
		examples: `  jacinththreadctl bundle propose --change-id fees-2 --note "fee service" bundle.jsonc
  jacinththreadctl bundle review fees-2
  jacinththreadctl bundle approve --digest 5e88... fees-2
  jacinththreadctl bundle roll fees-2
  jacinththreadctl bundle status
`,
		data: &commandGroup{},
		subs: []commandSpec{
			{name: "propose", short: "Propose a change", data: &proposeCommand{},
				long: "Checks the file, prints all findings with their position, and stores the change for review.",
				examples: `  jacinththreadctl bundle propose --change-id fees-2 --base 7 bundle.jsonc
`},
			{name: "review", short: "Show a proposed change and its diff against its base", data: &reviewCommand{},
				examples: `  jacinththreadctl bundle review fees-2
`},
			{name: "approve", short: "Approve a change that another operator proposed", data: &approveCommand{},
				long: "The approval is valid only for the content with the digest that the review showed.",
				examples: `  jacinththreadctl bundle approve --digest 5e88... fees-2
`},
			{name: "roll", short: "Put an approved change in force", data: &rollCommand{},
				long: "If another change was rolled first, the error names its operator and version. To roll back, propose the old content again.",
				examples: `  jacinththreadctl bundle roll fees-2
`},
			{name: "status", short: "Show the version in force on each daemon", data: &statusCommand{},
				examples: `  jacinththreadctl bundle status
`},
			{name: "history", short: "Show the versions that were in force", data: &historyCommand{},
				examples: `  jacinththreadctl --json bundle history
`},
			{name: "diff", short: "Show the diff between two versions or proposals", data: &diffCommand{},
				examples: `  jacinththreadctl bundle diff 6 7
  jacinththreadctl bundle diff 7 fees-2
  jacinththreadctl bundle diff 6
`},
		},
	}
}

func listSpecs() []commandSpec {
	return []commandSpec{
		{name: "members", short: "Show the daemons that one daemon knows", data: &membersCommand{},
			examples: `  jacinththreadctl --operator-url http://127.0.0.1:21302 members
`},
		{name: "servers", short: "Show the backend servers that one daemon knows", data: &serversCommand{},
			examples: `  jacinththreadctl servers
`},
		{name: "queues", short: "Show the queues of one daemon's scheduler", data: &queuesCommand{},
			examples: `  jacinththreadctl queues
`},
	}
}
