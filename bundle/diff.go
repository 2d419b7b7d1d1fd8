package bundle

import "strings"

// diffContext is the number of unchanged lines shown around a change.
const diffContext = 3

// maxDiffLines bounds the texts that are compared line by line; a pair of
// larger texts is shown as replaced, after equal lines at both ends.
const maxDiffLines = 1500

// edit is one line of a difference: ' ', '-' or '+' and the text.
type edit struct {
	kind byte
	line string
}

// Diff returns the difference between two texts by line, empty if they are
// equal. Lines start with "-", "+" or " "; "..." stands for unchanged lines.
func Diff(from, to string) string {
	if from == to {
		return ""
	}
	edits := diffLines(strings.Split(from, "\n"), strings.Split(to, "\n"))
	return render(edits)
}

func diffLines(a, b []string) []edit {
	head := 0
	for head < len(a) && head < len(b) && a[head] == b[head] {
		head++
	}
	tail := 0
	for tail < len(a)-head && tail < len(b)-head && a[len(a)-1-tail] == b[len(b)-1-tail] {
		tail++
	}
	edits := appendLines(nil, ' ', a[:head])
	edits = append(edits, diffMiddle(a[head:len(a)-tail], b[head:len(b)-tail])...)
	return appendLines(edits, ' ', a[len(a)-tail:])
}

func appendLines(edits []edit, kind byte, lines []string) []edit {
	for _, l := range lines {
		edits = append(edits, edit{kind, l})
	}
	return edits
}

// diffMiddle compares by the longest common subsequence.
func diffMiddle(a, b []string) []edit {
	if len(a) > maxDiffLines || len(b) > maxDiffLines {
		return appendLines(appendLines(nil, '-', a), '+', b)
	}
	common := commonLengths(a, b)
	var edits []edit
	i, j := 0, 0
	for i < len(a) && j < len(b) {
		switch {
		case a[i] == b[j]:
			edits = append(edits, edit{' ', a[i]})
			i, j = i+1, j+1
		case common[i+1][j] >= common[i][j+1]:
			edits = append(edits, edit{'-', a[i]})
			i++
		default:
			edits = append(edits, edit{'+', b[j]})
			j++
		}
	}
	return appendLines(appendLines(edits, '-', a[i:]), '+', b[j:])
}

// commonLengths returns, for each pair of rests, the length of their longest
// common subsequence.
func commonLengths(a, b []string) [][]uint16 {
	lengths := make([][]uint16, len(a)+1)
	lengths[len(a)] = make([]uint16, len(b)+1)
	for i := len(a) - 1; i >= 0; i-- {
		lengths[i] = make([]uint16, len(b)+1)
		for j := len(b) - 1; j >= 0; j-- {
			if a[i] == b[j] {
				lengths[i][j] = lengths[i+1][j+1] + 1
			} else {
				lengths[i][j] = max(lengths[i+1][j], lengths[i][j+1])
			}
		}
	}
	return lengths
}

// render leaves out unchanged lines far from any change.
func render(edits []edit) string {
	var out strings.Builder
	skipping := false
	for i, e := range edits {
		if e.kind == ' ' && !nearChange(edits, i) {
			if !skipping {
				out.WriteString("...\n")
			}
			skipping = true
			continue
		}
		skipping = false
		out.WriteByte(e.kind)
		out.WriteString(e.line)
		out.WriteByte('\n')
	}
	return out.String()
}

func nearChange(edits []edit, i int) bool {
	for j := max(0, i-diffContext); j <= min(len(edits)-1, i+diffContext); j++ {
		if edits[j].kind != ' ' {
			return true
		}
	}
	return false
}
