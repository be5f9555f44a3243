package main

// Names of the services.
const (
	lmService  = "huvo11a"
	appService = "wuno96b"
)

// wodnikConfiguration is a configuration like that of wodnik-ops.
func wodnikConfiguration() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{
			map[string]any{"name": "r-5pa2yhv", "host": clientHost, "pathPrefix": "/pufi791/", "kind": "streaming", "timeoutMs": 15000, "targetLatencyMs": 300, "targetGapMs": 250, "priority": 0, "service": lmService, "maxAttempts": 2, "public": false, "sticky": true, "resumable": true},
			map[string]any{"name": "r-6kd0v", "host": clientHost, "pathPrefix": "/lohu930/", "kind": "streaming", "timeoutMs": 6000, "targetLatencyMs": 600, "targetGapMs": 400, "priority": 1, "service": lmService, "maxAttempts": 1, "public": false, "sticky": true, "resumable": false},
			map[string]any{"name": "r-9xu1w", "host": clientHost, "pathPrefix": "/pule252/", "kind": "non_idempotent", "timeoutMs": 3000, "targetLatencyMs": 300, "priority": 2, "service": appService, "maxAttempts": 1, "public": false},
			map[string]any{"name": "r-z3pfi6y", "host": clientHost, "pathPrefix": "/puxa403/", "kind": "idempotent", "timeoutMs": 3000, "targetLatencyMs": 300, "priority": 2, "service": appService, "maxAttempts": 2, "public": false},
		},
		"services": []any{
			map[string]any{"name": lmService, "healthPath": "/health", "maxConns": 500, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 96, "kvCacheTokens": 309409, "kvTokenBytes": 262144, "linkMbps": 260000.0, "moves": true, "backups": true, "stride": 4, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handleS": 5.0,
				"models": []any{map[string]any{"name": "m"}},
			}},
			map[string]any{"name": appService, "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "huka270", "apiKeys": []string{apiKey}, "priority": 1}},
	}
}
