package settings

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
)

// Field describes one settings field for the documentation.
type Field struct {
	Path    string
	Default string
	Unit    string
	Min     string
	Max     string
	Doc     string
}

// Fields returns every field of the settings in the order of the struct.
func Fields() []Field {
	var fields []Field
	walkFields(reflect.ValueOf(Default()), "", func(path string, tag reflect.StructTag, value reflect.Value) {
		fields = append(fields, Field{
			Path:    path,
			Default: fmt.Sprint(value.Interface()),
			Unit:    tag.Get("unit"),
			Min:     tag.Get("min"),
			Max:     tag.Get("max"),
			Doc:     tag.Get("doc"),
		})
	})
	return fields
}

// Markdown returns the content of docs/SETTINGS.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Settings\n\nA daemon reads one file of JSON with comments; `gypsumpitchd check-settings FILE` checks it.\n" +
		"Unknown fields are refused. This page is made by `gypsumpitchd print-settings-page`.\n\n" +
		"| field | default | unit | range | meaning |\n| --- | --- | --- | --- | --- |\n")
	for _, f := range Fields() {
		valueRange := ""
		if f.Min != "" {
			valueRange = f.Min + " to " + f.Max
		}
		fmt.Fprintf(&b, "| `%s` | `%s` | %s | %s | %s |\n", f.Path, f.Default, f.Unit, valueRange, f.Doc)
	}
	return b.String()
}

// walkFields calls visit for every field that is not a struct, with its dotted path.
func walkFields(value reflect.Value, prefix string, visit func(string, reflect.StructTag, reflect.Value)) {
	for i := range value.NumField() {
		field := value.Type().Field(i)
		path := prefix + field.Tag.Get("json")
		if value.Field(i).Kind() == reflect.Struct {
			walkFields(value.Field(i), path+".", visit)
			continue
		}
		visit(path, field.Tag, value.Field(i))
	}
}

// checkRanges reports each integer outside the range of its min and max tags.
func checkRanges(s Settings, report func(path, format string, args ...any)) {
	walkFields(reflect.ValueOf(s), "", func(path string, tag reflect.StructTag, value reflect.Value) {
		if tag.Get("min") == "" {
			return
		}
		low, _ := strconv.ParseInt(tag.Get("min"), 10, 64)
		high, _ := strconv.ParseInt(tag.Get("max"), 10, 64)
		if n := value.Int(); n < low || n > high {
			report(path, "is %d, must be %d to %d %s", n, low, high, tag.Get("unit"))
		}
	})
}
