package operator

import "fmt"

// ArchiveName returns the name of the object that stores a version of the document.
func ArchiveName(version int64) string { return fmt.Sprintf("document-%012d.json", version) }
