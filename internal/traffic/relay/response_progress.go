package relay

// responseProgress is what the caller has of the response.
type responseProgress struct {
	headerSent  bool          // the response to the caller has begun
	status      int           // HTTP status sent to the caller
	lastEventID string        // last event that was accepted for the caller
	events      int           // that the caller received
	out         *streamBuffer // of the response; nil without shared capacity and before its first byte
	unread      bool          // reading the last attempt's response was paused for the caller
}
