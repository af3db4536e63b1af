#ifndef QL_HTTP_LISTENER_INTERNAL_H
#define QL_HTTP_LISTENER_INTERNAL_H

/*
 * What the listener and the writing of answers share.
 */

#include "http/listener.h"

/* Bytes of an answer that are gathered at first. */
#define QL_EXCHANGE_OUT_BYTES 1024u

struct ql_listener_connection {
	ql_listener_t *listener;
	ql_stream_t stream;
	ql_http_reader_t reader;
	ql_wheel_timer_t timer;
	GQueue exchanges;
	ql_http_exchange_t *incoming;
	bool reading_ended;
	bool lingering;
	bool is_dropped;
};

/**
 * ql_listener__flush() - Send what the first exchanges have ready.
 * @connection: may be closed by it, and exchanges that have ended are gone
 */
void ql_listener__flush(ql_listener_connection_t *connection);

/**
 * ql_listener__resume_reading() - Read on where that waited for an answer.
 */
void ql_listener__resume_reading(ql_listener_connection_t *connection);

/**
 * ql_listener__is_first() - Whether all exchanges before it are answered.
 */
bool ql_listener__is_first(const ql_http_exchange_t *exchange);

#endif
