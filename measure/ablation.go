package measure

// ablation is the router with one mechanism changed or disabled, and the
// scenarios it is measured in.
type ablation struct {
	variant   variant
	scenarios []string
}

func ablations() []ablation {
	change := func(name string, f func(*variant), scenarios ...string) ablation {
		v := defaultVariant()
		v.name = name
		f(&v)
		return ablation{v, scenarios}
	}
	loaded := []string{"steady", "burst-lowest"}
	return []ablation{
		change("d=1", func(v *variant) { v.count = 1 }, loaded...),
		change("d=2", func(v *variant) { v.count = 2 }, loaded...),
		change("d=4", func(v *variant) { v.count = 4 }, loaded...),
		change("no-affinity", func(v *variant) { v.noAffinity = true }, loaded...),
		change("growing-slots", func(v *variant) { v.maxSlots = poolMaxSlots }, "steady", "burst-lowest", "straggler"),
		change("slots=32", func(v *variant) { v.slots, v.maxSlots = poolMaxSlots, poolMaxSlots }, loaded...),
		change("no-express", func(v *variant) { v.disabled.Express = true }, "steady", "burst-lowest", "burst-middle"),
		change("no-resume", func(v *variant) { v.noResume = true }, "crash", "silent"),
		change("no-allowance", func(v *variant) { v.disabled.Allowance = true }, "burst-middle", "overload"),
		change("no-stragglers", func(v *variant) { v.disabled.Stragglers = true }, "straggler", "crash"),
	}
}
