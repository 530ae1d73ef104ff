package obs

import "github.com/sirupsen/logrus"

// Events of claims, numbers 1650 to 1669 of the range for requests and claims.
var (
	EventClaimsUnreadable = register(1650, logrus.WarnLevel, "claims stream cannot be read",
		"The log is unreachable, or it trimmed records that no snapshot contains. Non-idempotent requests are refused as not run.")
	EventClaimsDelayed = register(1651, logrus.WarnLevel, "claims cannot be appended",
		"The log refuses appends or its responses are lost. Claims are retried until their requests time out.")
)

var (
	// ClaimsTotal counts the claims that this router made for non-idempotent requests. ClaimsUnavailableTotal
	// counts those that were not decided in time.
	ClaimsTotal            = newMetric("claims_total")
	ClaimsUnavailableTotal = newMetric("claims_unavailable_total")
	// ClaimAppendsTotal counts appends to claim streams; one append can hold several claims.
	ClaimAppendsTotal = newMetric("claim_appends_total")
)
