#ifndef QL_TESTS_HTTP_PIPELINED_CONNECTION_H
#define QL_TESTS_HTTP_PIPELINED_CONNECTION_H

#include "http/listener.h"
#include "loop_fixture.h"

#include <memory>
#include <vector>

/*
 * A client that pipelines requests on one connection, and a handler that
 * writes, ends and aborts the responses when it is told to. Checks the
 * ownership of an exchange: its handler is called until the handler ends or
 * aborts it, or until the handler is told that it is cancelled, and not
 * afterwards.
 */
class PipelinedConnection
{
      public:
	static constexpr size_t kResponseBytes = 400000;

	struct Request {
		PipelinedConnection *connection;
		ql_http_exchange_t *exchange;
		size_t written = 0;
		bool in_flight = true;
		bool cancelled = false;
	};

	LoopFixture event_loop;
	ql_listener_t listener;
	RawSocket client;
	std::vector<std::unique_ptr<Request>> requests;
	/* Callbacks for exchanges that their handler has ended or aborted. */
	int late_callbacks = 0;

	PipelinedConnection()
	    : client((start_listening(),
		      RawSocket::connect_to(port_of(&listener.socket))))
	{
		event_loop.run_iterations(2);
	}

	~PipelinedConnection()
	{
		stop();
		event_loop.run_iterations(20);
		ql_listener_finish(&listener);
	}

	void stop()
	{
		ql_listener_stop(&listener);
	}

	/* Sends a request and runs the loop until its handler was called. */
	void send_request()
	{
		static const char request[] =
			"GET / HTTP/1.1\r\nHost: h\r\n\r\n";

		if (client.fd >= 0)
			(void)!::send(client.fd, request, strlen(request),
				      MSG_NOSIGNAL);
		event_loop.run_iterations(2);
	}

	/* Writes a part of the body, and the head before the first part. */
	void write(size_t index, size_t length)
	{
		Request *request = find(index);

		if (!request)
			return;
		if (!request->written)
			ql_http_exchange_write_head(request->exchange, 200,
						    nullptr, kResponseBytes);
		length = std::min(length, kResponseBytes - request->written);
		request->written += length;
		std::string bytes(length, (char)('a' + index % 26));
		ql_http_exchange_write(request->exchange, bytes.data(), length);
	}

	/* Writes the rest of the response and ends it. */
	void end(size_t index)
	{
		Request *request = find(index);

		write(index, kResponseBytes);
		if (!request || !request->in_flight)
			return;
		request->in_flight = false;
		ql_http_exchange_end(request->exchange);
	}

	void abort(size_t index)
	{
		Request *request = find(index);

		if (!request)
			return;
		request->in_flight = false;
		ql_http_exchange_abort(request->exchange);
	}

	/* Takes back what was written, unless some of it may have been sent. */
	void discard(size_t index)
	{
		Request *request = find(index);

		if (request && ql_http_exchange_discard(request->exchange))
			request->written = 0;
	}

	void close_client(bool is_reset)
	{
		linger reset = {1, 0};

		if (client.fd < 0)
			return;
		if (is_reset)
			setsockopt(client.fd, SOL_SOCKET, SO_LINGER, &reset,
				   sizeof(reset));
		close(client.fd);
		client.fd = -1;
		event_loop.run_iterations(5);
	}

	/* Lets the client read what has been sent so far. */
	void read()
	{
		for (int i = 0; i < 20 && client.fd >= 0; i++) {
			event_loop.run_iterations(1);
			client.poll();
		}
	}

	/* Whole responses that the client has received, in request order. */
	std::string whole_responses()
	{
		std::string letters;
		size_t start = 0, body;

		while ((body = client.received.find("\r\n\r\n", start)) !=
		       std::string::npos) {
			body += 4;
			if (client.received.size() < body + kResponseBytes)
				break;
			letters += client.received[body];
			start = body + kResponseBytes;
		}
		return letters;
	}

      private:
	Request *find(size_t index)
	{
		if (index >= requests.size() || !requests[index]->in_flight)
			return nullptr;
		return requests[index].get();
	}

	static Request *check(void *data)
	{
		Request *request = static_cast<Request *>(data);

		if (!request->in_flight)
			request->connection->late_callbacks++;
		return request;
	}

	static void on_cancelled(void *data)
	{
		Request *request = check(data);

		request->in_flight = false;
		request->cancelled = true;
	}

	static void on_drained(void *data)
	{
		check(data);
	}

	static bool on_successor_received(void *data, uint64_t)
	{
		check(data);
		return false;
	}

	static void handle(void *data, ql_http_exchange_t *exchange)
	{
		static const ql_http_exchange_ops_t ops = {
			on_cancelled, on_drained, on_successor_received};
		PipelinedConnection *connection =
			static_cast<PipelinedConnection *>(data);
		auto request = std::make_unique<Request>();

		request->connection = connection;
		request->exchange = exchange;
		exchange->ops = &ops;
		exchange->data = request.get();
		exchange->deadline_us = 1;
		connection->requests.push_back(std::move(request));
	}

	void start_listening()
	{
		ql_listener_opts_t opts = {};

		opts.address = loopback(0);
		opts.head_limit_bytes = 1000;
		opts.body_limit_bytes = 2000;
		opts.buffer_limit_bytes = 100000;
		opts.head_timeout_ms = 60000;
		opts.idle_timeout_ms = 60000;
		opts.connections = 10;
		opts.handle = handle;
		opts.data = this;
		EXPECT_EQ(0, ql_listener_start(&listener, &event_loop.loop,
					       &opts, nullptr));
	}
};

#endif
