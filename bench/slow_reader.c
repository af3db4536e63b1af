/*
 * Measures what one client that reads slowly, or not at all, costs the others:
 * the bytes that the process holds for it, and the throughput of 64 quick
 * clients beside it. Each client sends a series of requests on one connection:
 * either one download, or downloads that wait behind a slow response. Prints
 * one JSON object a row.
 */

#include "http/listener_internal.h"
#include "quetzalloft/clock.h"
#include "quetzalloft/json.h"

#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define QUICK_CLIENTS 64u
#define CLIENTS (QUICK_CLIENTS + 1u)
#define CHUNK_BYTES 16384u
/* A download is paused while more bytes wait, as the front end does. */
#define UNSENT_MAX_BYTES (256u << 10)
#define SLOW_RESPONSE_DELAY_MS 20u
#define SLOW_RECEIVE_BUFFER_BYTES 4096
#define SLOW_READ_BYTES 2000u
#define SLOW_READ_INTERVAL_US 5000u
/* Less than the time after which the kernel ends a connection unread. */
#define ROW_MS 2000u
/* A quick client that got nothing for this long has stalled. */
#define STALL_US 500000u

typedef enum {
	READER_ABSENT,
	READER_SLOW,
	READER_STOPPED
} slow_reader_t;

static const char *const reader_names[] = {
	[READER_ABSENT] = "none",
	[READER_SLOW] = "reads slowly",
	[READER_STOPPED] = "reads nothing",
};

/**
 * struct series - What each client asks for, again and again.
 * @downloads: number of downloads
 * @bytes: bytes of each
 * @is_waiting: a response of one byte that is sent late is asked for first
 */
typedef struct {
	unsigned int downloads;
	size_t bytes;
	bool is_waiting;
} series_t;

/* The first one is larger than what the kernel takes for a slow client. */
static const series_t all_series[] = {
	{1, 8000000, false},
	{8, 900000, true},
};

/**
 * struct client - A client and its connection.
 * @fd: socket
 * @is_quick: reads all that has arrived, at once
 * @received: bytes read
 * @left: bytes until the end of the series
 * @received_us: when bytes were read last
 */
typedef struct {
	int fd;
	bool is_quick;
	uint64_t received;
	size_t left;
	uint64_t received_us;
} client_t;

/**
 * struct bench - One row.
 * @loop: loop of the listener
 * @listener: the listener
 * @pump: runs while downloads are active
 * @end: ends the row
 * @active: downloads that are not paused
 * @series: what each client asks for
 * @reader: kind of the slow client
 * @clients: the clients; the slow one is the last
 * @must_stop: tells the thread of the clients to end
 * @elapsed_us: time that the clients read for
 * @end_us: when the clients ended
 * @slow_held_max: most bytes held for the slow client
 * @quick_held_max: most bytes held for one quick client
 */
typedef struct {
	ql_loop_t loop;
	ql_listener_t listener;
	uv_idle_t pump;
	uv_timer_t end;
	GQueue active;
	const series_t *series;
	slow_reader_t reader;
	client_t clients[CLIENTS];
	atomic_bool must_stop;
	uint64_t elapsed_us;
	uint64_t end_us;
	size_t slow_held_max;
	size_t quick_held_max;
} bench_t;

/**
 * struct download - A response in the listener's process.
 * @bench: the row
 * @exchange: the exchange
 * @link: link in @active of the row
 * @timer: runs until the response is due
 * @left: bytes to write
 * @is_active: linked in @active
 * @paused: waits until bytes were taken
 */
typedef struct {
	bench_t *bench;
	ql_http_exchange_t *exchange;
	GList link;
	ql_wheel_timer_t timer;
	size_t left;
	bool is_active;
	bool paused;
} download_t;

static void on_pump(uv_idle_t *pump);

static void activate(download_t *download)
{
	bench_t *bench = download->bench;

	download->is_active = true;
	g_queue_push_tail_link(&bench->active, &download->link);
	uv_idle_start(&bench->pump, on_pump);
}

static void free_download(download_t *download)
{
	bench_t *bench = download->bench;

	if (download->is_active)
		g_queue_unlink(&bench->active, &download->link);
	ql_loop_stop_timer(&bench->loop, &download->timer);
	g_free(download);
}

static void on_cancelled(void *data)
{
	free_download(data);
}

static void on_drained(void *data)
{
	download_t *download = data;

	if (!download->paused)
		return;
	download->paused = false;
	activate(download);
}

static const ql_http_exchange_ops_t exchange_ops = {
	.cancelled = on_cancelled,
	.drained = on_drained,
};

/* Counts the bytes that the process holds for the connection of an exchange. */
static void count_held(bench_t *bench, const ql_http_exchange_t *exchange)
{
	const ql_listener_connection_t *connection = exchange->connection;
	size_t held = connection->stream.pending_bytes;
	size_t *max = g_str_has_prefix(exchange->target->str, "/slow/")
			      ? &bench->slow_held_max
			      : &bench->quick_held_max;
	GList *link;

	for (link = connection->exchanges.head; link; link = link->next)
		held += ((const ql_http_exchange_t *)link->data)->out->len;
	*max = MAX(*max, held);
}

/* Writes the next chunk of a download, as if an endpoint had sent it. */
static void feed(download_t *download)
{
	static const char chunk[CHUNK_BYTES];
	ql_http_exchange_t *exchange = download->exchange;
	size_t length = MIN(download->left, CHUNK_BYTES);

	download->is_active = false;
	download->left -= length;
	ql_http_exchange_write(exchange, chunk, length);
	count_held(download->bench, exchange);
	if (!download->left) {
		ql_http_exchange_end(exchange);
		free_download(download);
	} else if (ql_http_exchange_pending(exchange) > UNSENT_MAX_BYTES) {
		download->paused = true;
	} else {
		activate(download);
	}
}

static void on_pump(uv_idle_t *pump)
{
	bench_t *bench = pump->data;
	GList *link;
	guint n;

	for (n = bench->active.length; n && bench->active.length; n--) {
		link = g_queue_pop_head_link(&bench->active);
		feed(link->data);
	}
	if (!bench->active.length)
		uv_idle_stop(pump);
}

static void on_due(void *data)
{
	download_t *download = data;

	ql_http_exchange_write_head(download->exchange, HTTP_STATUS_OK, NULL,
				    (int64_t)download->left);
	activate(download);
}

static void on_request(void *data, ql_http_exchange_t *exchange)
{
	bench_t *bench = data;
	download_t *download = g_new0(download_t, 1);
	bool is_late = g_str_has_suffix(exchange->target->str, "/late");

	download->bench = bench;
	download->exchange = exchange;
	download->link.data = download;
	download->left = is_late ? 1 : bench->series->bytes;
	download->timer.expired = on_due;
	download->timer.data = download;
	exchange->ops = &exchange_ops;
	exchange->data = download;
	if (is_late)
		ql_loop_start_timer(&bench->loop, &download->timer,
				    SLOW_RESPONSE_DELAY_MS);
	else
		on_due(download);
}

static size_t response_bytes(size_t body_bytes)
{
	return (size_t)snprintf(
		       NULL, 0,
		       "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n",
		       body_bytes) +
	       body_bytes;
}

/* Sends the requests of a series. */
static void send_series(const bench_t *bench, client_t *client)
{
	const series_t *series = bench->series;
	const char *kind = client->is_quick ? "quick" : "slow";
	GString *requests = g_string_new(NULL);
	unsigned int i;

	client->left = series->downloads * response_bytes(series->bytes);
	if (series->is_waiting) {
		client->left += response_bytes(1);
		g_string_append_printf(requests,
				       "GET /%s/late HTTP/1.1\r\nHost: h\r\n"
				       "\r\n",
				       kind);
	}
	for (i = 0; i < series->downloads; i++)
		g_string_append_printf(requests,
				       "GET /%s/file HTTP/1.1\r\nHost: h\r\n"
				       "\r\n",
				       kind);
	if (send(client->fd, requests->str, requests->len, MSG_NOSIGNAL) !=
	    (ssize_t)requests->len)
		g_error("send: %s", g_strerror(errno));
	g_string_free(requests, TRUE);
}

static void read_some(const bench_t *bench, client_t *client, size_t max)
{
	char bytes[65536];
	ssize_t n;

	max = MIN(max, sizeof(bytes));
	n = recv(client->fd, bytes, MIN(max, client->left), 0);
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0)
		g_error("a connection was closed: %s",
			n ? g_strerror(errno) : "by the listener");
	client->received += (uint64_t)n;
	client->received_us = ql_clock_now_us();
	client->left -= (size_t)n;
	if (!client->left)
		send_series(bench, client);
}

static void connect_client(bench_t *bench, client_t *client, bool is_quick)
{
	int bytes = SLOW_RECEIVE_BUFFER_BYTES;
	struct sockaddr_in address;
	int length = sizeof(address);

	uv_tcp_getsockname(&bench->listener.socket, (struct sockaddr *)&address,
			   &length);
	client->is_quick = is_quick;
	client->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (!is_quick)
		setsockopt(client->fd, SOL_SOCKET, SO_RCVBUF, &bytes,
			   sizeof(bytes));
	if (connect(client->fd, (struct sockaddr *)&address, sizeof(address)))
		g_error("connect: %s", g_strerror(errno));
	if (fcntl(client->fd, F_SETFL, O_NONBLOCK))
		g_error("fcntl: %s", g_strerror(errno));
	client->received_us = ql_clock_now_us();
	send_series(bench, client);
}

static void *run_clients(void *data)
{
	bench_t *bench = data;
	client_t *slow = &bench->clients[QUICK_CLIENTS];
	struct pollfd fds[QUICK_CLIENTS];
	uint64_t start_us = ql_clock_now_us();
	unsigned int i;

	for (i = 0; i < QUICK_CLIENTS; i++) {
		connect_client(bench, &bench->clients[i], true);
		fds[i].fd = bench->clients[i].fd;
		fds[i].events = POLLIN;
	}
	if (bench->reader != READER_ABSENT)
		connect_client(bench, slow, false);
	while (!atomic_load(&bench->must_stop)) {
		poll(fds, QUICK_CLIENTS, SLOW_READ_INTERVAL_US / 1000);
		for (i = 0; i < QUICK_CLIENTS; i++)
			if (fds[i].revents)
				read_some(bench, &bench->clients[i], SIZE_MAX);
		if (bench->reader == READER_SLOW &&
		    ql_clock_now_us() >=
			    slow->received_us + SLOW_READ_INTERVAL_US)
			read_some(bench, slow, SLOW_READ_BYTES);
	}
	bench->end_us = ql_clock_now_us();
	bench->elapsed_us = bench->end_us - start_us;
	return NULL;
}

static void on_end(uv_timer_t *timer)
{
	ql_loop_stop(((bench_t *)timer->data)->listener.loop);
}

static void start(bench_t *bench)
{
	ql_listener_opts_t opts = {
		.head_limit_bytes = 1000,
		.body_limit_bytes = 1000,
		.buffer_limit_bytes = 1 << 20,
		.head_timeout_ms = 60000,
		.idle_timeout_ms = 60000,
		.connections = CLIENTS,
		.handle = on_request,
		.data = bench,
	};
	GError *error = NULL;

	opts.address.sin_family = AF_INET;
	opts.address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (ql_loop_init(&bench->loop, &error) ||
	    ql_listener_start(&bench->listener, &bench->loop, &opts, &error))
		g_error("no listener: %s", error->message);
	bench->pump.data = bench;
	bench->end.data = bench;
	uv_idle_init(&bench->loop.uv, &bench->pump);
	uv_timer_init(&bench->loop.uv, &bench->end);
	uv_timer_start(&bench->end, on_end, ROW_MS, 0);
}

static void finish(bench_t *bench)
{
	unsigned int i;

	for (i = 0; i < CLIENTS; i++)
		if (bench->clients[i].fd >= 0)
			close(bench->clients[i].fd);
	ql_listener_stop(&bench->listener);
	uv_close((uv_handle_t *)&bench->pump, NULL);
	uv_close((uv_handle_t *)&bench->end, NULL);
	for (i = 0; i < 100; i++)
		uv_run(&bench->loop.uv, UV_RUN_NOWAIT);
	ql_listener_finish(&bench->listener);
	ql_loop_finish(&bench->loop);
}

static json_t *make_row(const bench_t *bench)
{
	const client_t *client = bench->clients;
	uint64_t bytes = 0;
	unsigned int n_stalled = 0;

	for (; client < bench->clients + QUICK_CLIENTS; client++) {
		bytes += client->received;
		n_stalled += client->received_us + STALL_US < bench->end_us;
	}
	return json_pack("{s:s, s:i, s:b, s:I, s:I, s:I, s:I, s:i}", "reader",
			 reader_names[bench->reader], "downloads",
			 (int)bench->series->downloads, "waiting",
			 bench->series->is_waiting, "slow_held_bytes",
			 (json_int_t)bench->slow_held_max, "quick_held_bytes",
			 (json_int_t)bench->quick_held_max,
			 "slow_received_bytes",
			 (json_int_t)bench->clients[QUICK_CLIENTS].received,
			 "quick_bytes_per_s",
			 (json_int_t)(bytes * 1000000 / bench->elapsed_us),
			 "quick_stalled", (int)n_stalled);
}

static json_t *measure(const series_t *series, slow_reader_t reader)
{
	bench_t *bench = g_new0(bench_t, 1);
	pthread_t thread;
	unsigned int i;
	json_t *row;

	bench->series = series;
	bench->reader = reader;
	for (i = 0; i < CLIENTS; i++)
		bench->clients[i].fd = -1;
	start(bench);
	if (pthread_create(&thread, NULL, run_clients, bench))
		g_error("no thread");
	ql_loop_run(&bench->loop);
	atomic_store(&bench->must_stop, true);
	pthread_join(thread, NULL);
	row = make_row(bench);
	finish(bench);
	g_free(bench);
	return row;
}

int main(void)
{
	slow_reader_t reader;
	json_t *row;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(all_series); i++) {
		for (reader = READER_ABSENT; reader <= READER_STOPPED;
		     reader++) {
			row = measure(&all_series[i], reader);
			json_dumpf(row, stdout, JSON_COMPACT);
			putchar('\n');
			json_decref(row);
		}
	}
	return 0;
}
