#ifndef QL_HTTP_LISTENER_INTERNAL_H
#define QL_HTTP_LISTENER_INTERNAL_H

/*
 * Declarations shared by listener.c, which accepts connections,
 * listener_connection.c, which sends the responses and ends connections,
 * listener_reader.c, which reads the requests, and exchange.c.
 */

#include "http/listener.h"

/* Requests of one connection that are handled concurrently. */
#define QL_PIPELINED_REQUESTS_MAX 64u
/* Initial size of the output buffer of an exchange. */
#define QL_EXCHANGE_BUFFER_BYTES 1024u

/**
 * struct ql_listener_connection - A connection of a client.
 * @listener: listener that accepted the connection
 * @stream: the TCP connection
 * @reader: reader of the requests
 * @timer: head timeout, idle timeout, linger timeout or stall timeout
 * @unsent_at_timer: unsent bytes when the stall timeout was started
 * @exchanges: exchanges in request order
 * @incoming: exchange whose body is being read, or NULL
 * @must_continue: the client of @incoming waits for an interim response before
 *                 it sends the body
 * @reading_ended: no further request is read
 * @lingering: the last response was sent; waits for the peer to close
 * @is_dropped: all exchanges were freed; the connection is being closed
 */
struct ql_listener_connection {
	ql_listener_t *listener;
	ql_stream_t stream;
	ql_http_reader_t reader;
	ql_wheel_timer_t timer;
	size_t unsent_at_timer;
	GQueue exchanges;
	ql_http_exchange_t *incoming;
	bool must_continue;
	bool reading_ended;
	bool lingering;
	bool is_dropped;
};

/** Callbacks for the stream of a connection. */
extern const ql_stream_ops_t ql_listener__stream_ops;

/** Callbacks for the reader of the requests of a connection. */
extern const ql_http_reader_ops_t ql_listener__reader_ops;

/**
 * ql_listener__received() - Read bytes that the client has sent.
 * @data: the connection
 * @bytes: the bytes
 * @length: number of @bytes
 */
void ql_listener__received(void *data, const char *bytes, size_t length);

/**
 * ql_listener__exchange_new() - Create an exchange that is in no queue.
 * @connection: its connection
 *
 * Return: the exchange.
 */
ql_http_exchange_t *
ql_listener__exchange_new(ql_listener_connection_t *connection);

/**
 * ql_listener__abort() - Cancel all exchanges of a connection and close it.
 * @connection: the connection
 */
void ql_listener__abort(ql_listener_connection_t *connection);

/**
 * ql_listener__update_timer() - Start the timeout that a connection has now.
 * @connection: the connection, not dropped
 */
void ql_listener__update_timer(ql_listener_connection_t *connection);

/**
 * ql_listener__timed_out() - Close a connection whose timeout has passed,
 * unless its client still reads.
 * @data: the connection
 */
void ql_listener__timed_out(void *data);

/**
 * ql_listener__send_continue() - Ask the client for the body of the request
 * that is being read, once all responses to earlier requests have been sent.
 * @connection: the connection
 */
void ql_listener__send_continue(ql_listener_connection_t *connection);

/**
 * ql_listener__flush() - Send the available output of the first exchanges.
 * @connection: the connection; may be closed by this call, which also frees
 *              exchanges that have ended
 */
void ql_listener__flush(ql_listener_connection_t *connection);

/**
 * ql_listener__resume_reading() - Resume reading that was paused by the limit
 * on pipelined requests, and update the timeout.
 * @connection: the connection, not dropped
 */
void ql_listener__resume_reading(ql_listener_connection_t *connection);

/**
 * ql_listener__release_handler() - End the calls to the handler of an exchange.
 * @exchange: the exchange
 *
 * Every way in which a handler is done with an exchange leads here.
 */
void ql_listener__release_handler(ql_http_exchange_t *exchange);

/**
 * ql_listener__is_first() - Check whether all earlier exchanges of the
 * connection have ended.
 * @exchange: the exchange
 */
bool ql_listener__is_first(const ql_http_exchange_t *exchange);

#endif
