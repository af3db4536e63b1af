#include "pipelined_connection.h"

namespace
{

struct EndCase {
	const char *name;
	/*
	 * Steps: r sends a request; digits choose the exchange of the next
	 * step; w writes a part of its response, e ends and a aborts it; c
	 * closes the client, x resets it; k disables keep-alive, s stops the
	 * listener.
	 */
	const char *steps;
	/* Whole responses that the client gets, by letter. */
	const char *received;
};

/*
 * Guards against calls to a handler that has ended or aborted its exchange, as
 * the handler frees its data then. The exchange itself stays in the queue of
 * its connection while it waits for its turn.
 */
class ExchangeEnd : public testing::TestWithParam<EndCase>
{
};

void run(PipelinedConnection *connection, const char *steps)
{
	size_t index = 0;

	for (const char *step = steps; *step; step++)
		switch (*step) {
		case 'r':
			connection->send_request();
			break;
		case 'w':
			connection->write(index, 200000);
			break;
		case 'e':
			connection->end(index);
			break;
		case 'a':
			connection->abort(index);
			break;
		case 'c':
			connection->close_client(false);
			break;
		case 'x':
			connection->close_client(true);
			break;
		case 'k':
			ql_listener_disable_keep_alive(&connection->listener);
			break;
		case 's':
			connection->stop();
			break;
		default:
			index = (size_t)(*step - '0');
		}
}

TEST_P(ExchangeEnd, IsTheLastThatTheHandlerHears)
{
	PipelinedConnection connection;

	run(&connection, GetParam().steps);
	for (int i = 0; i < 50; i++)
		connection.read();
	EXPECT_EQ(0, connection.late_callbacks);
	EXPECT_EQ(GetParam().received, connection.whole_responses());
	connection.stop();
	EXPECT_EQ(0, connection.late_callbacks);
	for (auto &request : connection.requests)
		EXPECT_FALSE(request->in_flight);
	EXPECT_EQ(0u, connection.listener.n_exchanges);
}

INSTANTIATE_TEST_SUITE_P(
	Ways, ExchangeEnd,
	testing::Values(EndCase{"Whole", "rr0e1e", "ab"},
			EndCase{"WaitingAbortedThenRequest", "rr1warr0e", "a"},
			EndCase{"WaitingAbortedAtOnce", "rr1ar0e", "a"},
			EndCase{"WaitingEndedThenRequest", "rr1er0e2e", "abc"},
			EndCase{"TwoWaitingAborted", "rrr1wa2war0e", "a"},
			EndCase{"FirstAbortedOthersBehind", "rrr1w2e0wa", ""},
			EndCase{"FirstAbortedAbortedBehind", "rr1wa0wa", ""},
			EndCase{"WaitingAbortedClientCloses", "rr1wac", ""},
			EndCase{"WaitingAbortedClientResets", "rr1wax", ""},
			EndCase{"WaitingEndedClientCloses", "rr1ec", ""},
			EndCase{"WaitingAbortedListenerStops", "rr1was", ""},
			EndCase{"WaitingAbortedNoKeepAlive", "rrk1war0e", "a"},
			EndCase{"EndedNoKeepAliveOthersBehind", "rk0er", "a"}),
	[](const auto &test) { return test.param.name; });

} // namespace
