package operator

import "fmt"

// ArchiveName returns the object under which a version of the document is kept.
func ArchiveName(version int64) string { return fmt.Sprintf("document-%012d.json", version) }
