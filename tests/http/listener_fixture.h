#ifndef QL_TESTS_HTTP_LISTENER_FIXTURE_H
#define QL_TESTS_HTTP_LISTENER_FIXTURE_H

#include "http/listener.h"
#include "loop_fixture.h"

/* A listener with low limits; the test provides the request handler. */
class ListenerFixture : public testing::Test
{
      protected:
	LoopFixture event_loop;
	ql_listener_t listener;

	void start_listening(void (*handle)(void *, ql_http_exchange_t *),
			     void *data)
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
		opts.data = data;
		ASSERT_EQ(0, ql_listener_start(&listener, &event_loop.loop,
					       &opts, nullptr));
	}

	void TearDown() override
	{
		ql_listener_stop(&listener);
		event_loop.run_iterations(20);
		EXPECT_EQ(0u, listener.n_exchanges);
		EXPECT_EQ(0u, listener.buffered_bytes);
		ql_listener_finish(&listener);
	}

	/* Connects a client to the listener. */
	RawSocket connect_client()
	{
		return RawSocket::connect_to(port_of(&listener.socket));
	}
};

#endif
