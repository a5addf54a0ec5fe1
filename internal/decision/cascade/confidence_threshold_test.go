package cascade

import "fmt"

func ExampleConfidenceThreshold_At() {
	threshold := ConfidenceThreshold{Normal: 58, Overloaded: 44}
	fmt.Println(threshold.At(0.1), threshold.At(0.6), threshold.At(0.9), threshold.At(1.2), threshold.At(5))
	// Output: 58 58 51 44 44
}
