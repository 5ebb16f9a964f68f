package wire

import "strings"

// nameMarks are the characters other than letters and digits in a field's name.
const nameMarks = "!#$%&'*+-.^_`|~"

// Text is what was received, before or after its conversion.
type Text interface{ string | []byte }

// IsFieldName reports whether text is the name of a field as HTTP defines it.
func IsFieldName[T Text](text T) bool { return len(text) > 0 && ConsistsOf(text, nameMarks) }

// IsFieldValue reports whether text has no control character other than the tab.
func IsFieldValue[T Text](text T) bool {
	for i := range len(text) {
		if c := text[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// ConsistsOf reports whether text has only letters, digits and the given marks.
func ConsistsOf[T Text](text T, marks string) bool {
	for i := range len(text) {
		c := text[i]
		if (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') && strings.IndexByte(marks, c) < 0 {
			return false
		}
	}
	return true
}
