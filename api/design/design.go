// Package design describes the caller API of cardamomline in goa's language.
//
// # Usage
//
// The code below api/gen is generated from this package by scripts/generate and
// is committed, so that a build needs no generator.
package design

import (
	. "goa.design/goa/v3/dsl"
)

const (
	maxInputLength = 256 * 1024
	maxNameLength  = 128
	maxTokens      = 16384
)

var _ = API("cardamomline", func() {
	Title("cardamomline caller API")
	Description("Multi-stage model pipelines and the plain services beside them.")
	Server("cardamomline", func() {
		Host("loopback", func() {
			URI("http://127.0.0.1:8080")
		})
	})
})

// StageReport is what one stage of a request cost.
var StageReport = Type("StageReport", func() {
	Description("What one stage of a request cost.")
	Attribute("stage", String, "Name of the stage.")
	Attribute("target", String, "Target that produced the result.")
	Attribute("millis", Float64, "Time from dispatch to result, in milliseconds.")
	Attribute("attempts", Int, "Number of attempts.")
	Required("stage", "target", "millis", "attempts")
})

// Answer is the outcome of a request.
var Answer = ResultType("application/vnd.cardamomline.answer", func() {
	TypeName("Answer")
	Attributes(func() {
		Attribute("request_id", String, "Identity of the request, for explain.")
		Attribute("outcome", String, "What became of the request.", func() {
			Enum("done", "not_run", "unknown", "failed", "accepted")
		})
		Attribute("reason", String, "Why, when the outcome isn't done.")
		Attribute("detail", String, "The reason in one plain sentence.")
		Attribute("output", String, "The whole answer, when the outcome is done.")
		Attribute("tokens", Int, "Number of generated tokens.")
		Attribute("order_id", String, "The order id of the request.")
		Attribute("repeated", Boolean, "Whether this is the recorded outcome of an earlier request.")
		Attribute("revision", UInt64, "Configuration revision that the request was served by.")
		Attribute("stages", ArrayOf(StageReport), "Cost by stage.")
		Required("request_id", "outcome")
	})
})

var _ = Service("pipelines", func() {
	Description("Runs pipelines, services and orders for callers.")

	Error("bad_request", ErrorResult, "The input is refused; the message names the field.")
	Error("not_found", ErrorResult, "No such request of this customer.")
	Error("unavailable", ErrorResult, "This entry takes no requests now; nothing was done. Try another entry.")

	Method("run", func() {
		Description("Runs a pipeline and answers when it is complete. A pipeline that may wait is accepted once recorded durably.")
		Payload(func() {
			customerKey()
			requestAttributes()
			Attribute("pipeline", String, "Name of the pipeline.", nameRule)
			Required("customer_key", "pipeline", "deadline_ms", "input")
		})
		Result(Answer)
		HTTP(func() {
			POST("/v1/pipelines/{pipeline}")
			Header("customer_key:Customer-Key")
			Response(StatusOK)
			Response("bad_request", StatusBadRequest)
			Response("not_found", StatusNotFound)
			Response("unavailable", StatusServiceUnavailable)
		})
	})

	Method("call", func() {
		Description("Calls one operation of a plain service. An operation that isn't idempotent needs an order id.")
		Payload(func() {
			customerKey()
			Attribute("service", String, "Name of the service.", nameRule)
			Attribute("operation", String, "Name of the operation.", nameRule)
			Attribute("order_id", String, "Identity of an order that must not repeat.", nameRule)
			Attribute("first_attempt", Boolean, "True when no earlier request used this order id. It lets an entry without a quorum answer not_run instead of unknown.", func() {
				Default(false)
			})
			Attribute("class", String, "Request class; the manifest's default when empty.", optionalNameRule)
			Attribute("deadline_ms", Int64, "Time that the caller will wait, in milliseconds.", deadlineRule)
			Attribute("input", String, "Body of the call.", inputRule)
			Required("customer_key", "service", "operation", "deadline_ms", "input")
		})
		Result(Answer)
		HTTP(func() {
			POST("/v1/services/{service}/{operation}")
			Header("customer_key:Customer-Key")
			Response(StatusOK)
			Response("bad_request", StatusBadRequest)
			Response("not_found", StatusNotFound)
			Response("unavailable", StatusServiceUnavailable)
		})
	})

	Method("fetch", func() {
		Description("Answers the state of a waiting request, only to the customer that owns it.")
		Payload(func() {
			customerKey()
			Attribute("id", String, "Identity of the waiting request.", nameRule)
			Required("customer_key", "id")
		})
		Result(Answer)
		HTTP(func() {
			GET("/v1/waiting/{id}")
			Header("customer_key:Customer-Key")
			Response(StatusOK)
			Response("bad_request", StatusBadRequest)
			Response("not_found", StatusNotFound)
			Response("unavailable", StatusServiceUnavailable)
		})
	})

	Method("stream", func() {
		Description("Runs a pipeline and streams its tokens as server-sent events; the last event is the whole answer.")
		Payload(func() {
			customerKey()
			requestAttributes()
			Attribute("pipeline", String, "Name of the pipeline.", nameRule)
			Required("customer_key", "pipeline", "deadline_ms", "input")
		})
		StreamingResult(StreamEvent)
		HTTP(func() {
			POST("/v1/pipelines/{pipeline}/stream")
			Header("customer_key:Customer-Key")
			ServerSentEvents(func() {
				SSEEventType("event")
			})
			Response(StatusOK)
			Response("bad_request", StatusBadRequest)
			Response("not_found", StatusNotFound)
			Response("unavailable", StatusServiceUnavailable)
		})
	})
})

// StreamEvent is one server-sent event of a streamed request.
var StreamEvent = Type("StreamEvent", func() {
	Description("One event of a streamed request: token or answer.")
	Attribute("event", String, "Kind of event: token or answer.")
	Attribute("offset", Int, "Position of the token in the answer.")
	Attribute("text", String, "Text of the token.")
	Attribute("answer", Answer, "The outcome, in the last event.")
	Required("event")
})

func customerKey() {
	Attribute("customer_key", String, "Key of the customer.", func() {
		MinLength(1)
		MaxLength(maxNameLength)
	})
}

func requestAttributes() {
	Attribute("class", String, "Request class; the manifest's default when empty.", optionalNameRule)
	Attribute("deadline_ms", Int64, "Time that the caller will wait, in milliseconds.", deadlineRule)
	Attribute("input", String, "Text to work on.", inputRule)
	Attribute("max_tokens", Int, "Upper limit of generated tokens.", func() {
		Minimum(1)
		Maximum(maxTokens)
	})
	Attribute("prefix", String, "Name of a prompt prefix that requests share.", optionalNameRule)
	Attribute("submission_id", String, "Identity of a submission that may wait; resending it answers the same request.", optionalNameRule)
}

func nameRule() {
	MinLength(1)
	MaxLength(maxNameLength)
}

func optionalNameRule() {
	MaxLength(maxNameLength)
}

func deadlineRule() {
	Minimum(1)
	Maximum(24 * 60 * 60 * 1000)
}

func inputRule() {
	MaxLength(maxInputLength)
}
