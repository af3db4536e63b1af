#ifndef QL_TESTS_HTTP_LISTENER_WORLD_H
#define QL_TESTS_HTTP_LISTENER_WORLD_H

#include "http/listener.h"
#include "loop_world.h"

/* A listener, whose requests the test answers. */
class ListenerWorld : public testing::Test
{
      protected:
	LoopWorld world;
	ql_listener_t listener;

	void Listen(void (*handle)(void *, ql_http_exchange_t *), void *data)
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
		ASSERT_EQ(0, ql_listener_start(&listener, &world.loop, &opts,
					       nullptr));
	}

	void TearDown() override
	{
		ql_listener_stop(&listener);
		world.turn(20);
		EXPECT_EQ(0u, listener.n_exchanges);
		EXPECT_EQ(0u, listener.buffered);
		ql_listener_finish(&listener);
	}

	RawSocket open()
	{
		return RawSocket::connect_to(port_of(&listener.socket));
	}
};

#endif
