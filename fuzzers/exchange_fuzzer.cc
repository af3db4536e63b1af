#include "http/pipelined_connection.h"

/*
 * Operations on one connection with pipelined requests, in any order: each byte
 * is one of them, with the number of an exchange in the upper bits.
 */

namespace
{

enum Operation {
	SEND_REQUEST,
	WRITE_LITTLE,
	WRITE_MUCH,
	END,
	ABORT,
	DISCARD,
	READ,
	RARE,
	N_OPERATIONS
};

constexpr size_t kExchanges = 8;
constexpr size_t kOperationsMax = 64;

/* Operations after which few others have an effect. */
void run_rare(PipelinedConnection *connection, size_t which)
{
	switch (which) {
	case 0:
		connection->close_client(false);
		break;
	case 1:
		connection->close_client(true);
		break;
	case 2:
		ql_listener_disable_keep_alive(&connection->listener);
		break;
	case 3:
		connection->stop();
		break;
	default:
		break;
	}
}

void run(PipelinedConnection *connection, uint8_t byte)
{
	size_t index = byte / N_OPERATIONS % kExchanges;

	switch (byte % N_OPERATIONS) {
	case SEND_REQUEST:
		if (connection->requests.size() < kExchanges)
			connection->send_request();
		break;
	case WRITE_LITTLE:
		connection->write(index, 100);
		break;
	case WRITE_MUCH:
		connection->write(index, 150000);
		break;
	case END:
		connection->end(index);
		break;
	case ABORT:
		connection->abort(index);
		break;
	case DISCARD:
		connection->discard(index);
		break;
	case READ:
		connection->read();
		break;
	default:
		run_rare(connection, index);
	}
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	PipelinedConnection connection;
	size_t i;

	for (i = 0; i < size && i < kOperationsMax; i++)
		run(&connection, data[i]);
	connection.stop();
	if (connection.late_callbacks || connection.listener.n_exchanges)
		abort();
	return 0;
}
