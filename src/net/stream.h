#ifndef QL_NET_STREAM_H
#define QL_NET_STREAM_H

/**
 * DOC: A TCP connection on an event loop, with non-blocking writes and
 * keep-alive probes that detect an unreachable peer.
 */

#include "net/loop.h"

G_BEGIN_DECLS

typedef struct ql_stream ql_stream_t;

/**
 * struct ql_stream_ops - Callbacks of a stream.
 * @connected: ql_stream_connect() has completed; @status is 0 or a libuv error
 * @received: bytes were read
 * @ended: the peer closed the connection (@status is UV_EOF) or it broke
 *         (@status is another libuv error)
 * @drained: all written bytes were handed to the kernel; may be NULL
 * @closed: the handle is closed and the memory of the stream may be freed
 */
typedef struct ql_stream_ops {
	void (*connected)(void *data, int status);
	void (*received)(void *data, const char *bytes, size_t length);
	void (*ended)(void *data, int status);
	void (*drained)(void *data);
	void (*closed)(void *data);
} ql_stream_ops_t;

/**
 * struct ql_stream - A connection, embedded in the object of its owner.
 * @tcp: libuv handle
 * @connect: request of ql_stream_connect()
 * @shutdown: request of ql_stream_shutdown()
 * @loop: loop that the stream runs on
 * @ops: callbacks of the owner
 * @data: passed to @ops
 * @pending_bytes: bytes that are queued and not yet written to the socket
 * @reading: the stream reads from the socket
 * @closing: ql_stream_close() or ql_stream_abort() was called
 */
struct ql_stream {
	uv_tcp_t tcp;
	uv_connect_t connect;
	uv_shutdown_t shutdown;
	ql_loop_t *loop;
	const ql_stream_ops_t *ops;
	void *data;
	size_t pending_bytes;
	bool reading;
	bool closing;
};

/**
 * ql_stream_init() - Initialize a stream on a loop.
 * @stream: the stream; it must not move in memory until @closed is called
 * @loop: the loop
 * @ops: callbacks
 * @data: passed to @ops
 */
void ql_stream_init(ql_stream_t *stream, ql_loop_t *loop,
		    const ql_stream_ops_t *ops, void *data);

/**
 * ql_stream_accept() - Accept a connection and start to read from it.
 * @stream: the stream
 * @listener: the listening socket
 *
 * Return: 0 or QL_E_IO.
 */
int ql_stream_accept(ql_stream_t *stream, uv_stream_t *listener);

/**
 * ql_stream_unsent_bytes() - Count the bytes that the kernel has not taken.
 * @stream: the stream
 *
 * Return: as @pending_bytes, less what was written of a queue in part.
 */
size_t ql_stream_unsent_bytes(const ql_stream_t *stream);

/**
 * ql_stream_connect() - Start to connect; @connected reports the result.
 * @stream: the stream
 * @address: address of the peer
 *
 * Return: 0 or QL_E_IO.
 */
int ql_stream_connect(ql_stream_t *stream, const struct sockaddr_in *address);

/**
 * ql_stream_write() - Write bytes; what the socket does not take at once is
 * copied and queued.
 * @stream: the stream
 * @bytes: the bytes
 * @length: number of bytes
 */
void ql_stream_write(ql_stream_t *stream, const void *bytes, size_t length);

/**
 * ql_stream_pause() - Stop reading from the socket, so that TCP flow control
 * slows down the peer.
 * @stream: the stream
 */
void ql_stream_pause(ql_stream_t *stream);

/**
 * ql_stream_resume() - Start to read from the socket again.
 * @stream: the stream
 */
void ql_stream_resume(ql_stream_t *stream);

/**
 * ql_stream_close() - Close after all queued bytes are written.
 * @stream: the stream; later calls are ignored
 */
void ql_stream_close(ql_stream_t *stream);

/**
 * ql_stream_shutdown() - Shut down the sending side and keep reading.
 * @stream: the stream
 *
 * Closing a socket with unread bytes resets the connection, which can destroy
 * a response that is still in transit.
 */
void ql_stream_shutdown(ql_stream_t *stream);

/**
 * ql_stream_abort() - Close at once; queued bytes are lost and the peer sees a
 * broken connection.
 * @stream: the stream; later calls are ignored
 */
void ql_stream_abort(ql_stream_t *stream);

G_END_DECLS

#endif
