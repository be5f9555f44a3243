package faker

import "net/http"

// flush sends what was written so far. It ignores errors: if the caller disconnected, the
// next write fails, too.
func flush(w http.ResponseWriter) { _ = http.NewResponseController(w).Flush() }
