package cascade

import "fmt"

func ExampleConfidenceThreshold_At() {
	bar := ConfidenceThreshold{Normal: 58, Overloaded: 44}
	fmt.Println(bar.At(0.1), bar.At(0.6), bar.At(0.9), bar.At(1.2), bar.At(5))
	// Output: 58 58 51 44 44
}
