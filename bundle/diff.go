package bundle

import "strings"

// diffContext is the number of unchanged lines shown around a change.
const diffContext = 3

// maxDiffLines limits the lines compared after the common prefix and suffix are
// removed, because the comparison takes quadratic time and memory. Longer parts
// are shown as replaced.
const maxDiffLines = 1500

// edit is one line of a diff. Its kind is ' ', '-' or '+'.
type edit struct {
	kind byte
	line string
}

// Diff returns the line diff of two texts, empty if they are equal. Lines start
// with "-", "+" or " "; "..." stands for omitted unchanged lines.
func Diff(from, to string) string {
	if from == to {
		return ""
	}
	edits := diffLines(strings.Split(from, "\n"), strings.Split(to, "\n"))
	return render(edits)
}

func diffLines(a, b []string) []edit {
	prefix := 0
	for prefix < len(a) && prefix < len(b) && a[prefix] == b[prefix] {
		prefix++
	}
	suffix := 0
	for suffix < len(a)-prefix && suffix < len(b)-prefix && a[len(a)-1-suffix] == b[len(b)-1-suffix] {
		suffix++
	}
	edits := appendLines(nil, ' ', a[:prefix])
	edits = append(edits, diffMiddle(a[prefix:len(a)-suffix], b[prefix:len(b)-suffix])...)
	return appendLines(edits, ' ', a[len(a)-suffix:])
}

func appendLines(edits []edit, kind byte, lines []string) []edit {
	for _, l := range lines {
		edits = append(edits, edit{kind, l})
	}
	return edits
}

// diffMiddle diffs two texts by their longest common subsequence.
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

// commonLengths returns the length of the longest common subsequence of the
// suffixes a[i:] and b[j:] at [i][j].
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

// render formats edits as text and omits unchanged lines that are more than
// diffContext lines away from a change.
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
