/*
 * Stand-ins for the cases of review 3: an application server, clients, the
 * operator's calls, and the part of the platform that kills a process which
 * uses more memory than its machine has. One thread a connection.
 */
#define _GNU_SOURCE
#include "wire.inc"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define HEAD_MAX 16384
#define BLOCK 65536
#define NOTHING (-1)
/* Least number of times in a second that a slow reader reads. */
#define TURNS_PER_S 20
#define HEAD_LINE 512
/* Bytes of a head that is sent in two segments. */
#define HEAD_PART 40

static int record_fd = 2;

static uint64_t now_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

static void sleep_ms(uint64_t ms)
{
	struct timespec wait = {(time_t)(ms / 1000),
				(long)(ms % 1000) * 1000000};

	nanosleep(&wait, NULL);
}

/* Writes one line of the record: the steady time in ms and the event. */
__attribute__((format(printf, 1, 2))) static void note(const char *format, ...)
{
	char line[512];
	int n = snprintf(line, sizeof(line), "%llu ",
			 (unsigned long long)now_ms());
	va_list args;

	va_start(args, format);
	n += vsnprintf(line + n, sizeof(line) - (size_t)n - 1, format, args);
	va_end(args);
	if (n > (int)sizeof(line) - 2)
		n = (int)sizeof(line) - 2;
	line[n++] = '\n';
	if (write(record_fd, line, (size_t)n) < 0)
		_exit(2);
}

static void open_record(const char *path)
{
	record_fd = open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
	if (record_fd < 0)
		_exit(2);
}

/* Reads the option NAME=NUMBER from the arguments. */
static long option(char **arguments, const char *name, long otherwise)
{
	size_t length = strlen(name);

	for (; *arguments; arguments++)
		if (!strncmp(*arguments, name, length) &&
		    (*arguments)[length] == '=')
			return strtol(*arguments + length + 1, NULL, 10);
	return otherwise;
}

static const char *text_option(char **arguments, const char *name,
			       const char *otherwise)
{
	size_t length = strlen(name);

	for (; *arguments; arguments++)
		if (!strncmp(*arguments, name, length) &&
		    (*arguments)[length] == '=')
			return *arguments + length + 1;
	return otherwise;
}

static struct sockaddr_in parse_address(const char *text)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	const char *colon = strchr(text, ':');
	char ip[32] = "";

	if (!colon || colon - text >= (long)sizeof(ip))
		_exit(2);
	memcpy(ip, text, (size_t)(colon - text));
	if (inet_pton(AF_INET, ip, &address.sin_addr) != 1)
		_exit(2);
	address.sin_port = htons((uint16_t)strtoul(colon + 1, NULL, 10));
	return address;
}

static int connect_to(const char *where)
{
	struct sockaddr_in address = parse_address(where);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (fd >= 0 &&
	    !connect(fd, (struct sockaddr *)&address, sizeof(address)))
		return fd;
	if (fd >= 0)
		close(fd);
	return NOTHING;
}

static bool send_all(int fd, const char *bytes, size_t length)
{
	while (length) {
		ssize_t n = send(fd, bytes, length, MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		bytes += n;
		length -= (size_t)n;
	}
	return true;
}

static bool send_filler(int fd, size_t length)
{
	static const char block[BLOCK] = {'x'};

	while (length) {
		size_t n = length < BLOCK ? length : BLOCK;

		if (!send_all(fd, block, n))
			return false;
		length -= n;
	}
	return true;
}

/* A connection, and the bytes that were read from it beyond the last head. */
typedef struct {
	int fd;
	char bytes[HEAD_MAX];
	size_t n;
} reader_t;

/*
 * Moves the next head to @head, without its last line. Returns false at the
 * end of the connection.
 */
static bool read_head(reader_t *reader, char head[HEAD_MAX])
{
	for (;;) {
		char *end;
		ssize_t n;

		reader->bytes[reader->n] = '\0';
		end = strstr(reader->bytes, "\r\n\r\n");
		if (end) {
			size_t length = (size_t)(end - reader->bytes) + 2;

			memcpy(head, reader->bytes, length);
			head[length] = '\0';
			reader->n -= length + 2;
			memmove(reader->bytes, end + 4, reader->n);
			return true;
		}
		if (reader->n >= HEAD_MAX - 1)
			return false;
		n = recv(reader->fd, reader->bytes + reader->n,
			 HEAD_MAX - 1 - reader->n, 0);
		if (n <= 0)
			return false;
		reader->n += (size_t)n;
	}
}

/* Copies the value of a header; "" if there is none. */
static void get_header(const char *head, const char *name, char out[128])
{
	char pattern[64];
	const char *found;
	size_t length;

	out[0] = '\0';
	snprintf(pattern, sizeof(pattern), "\n%s: ", name);
	found = strcasestr(head, pattern);
	if (!found)
		return;
	found += strlen(pattern);
	length = strcspn(found, "\r\n");
	if (length > 127)
		length = 127;
	memcpy(out, found, length);
	out[length] = '\0';
}

/*
 * Reads a body of a known length, at most @rate bytes a second unless that is
 * 0. Returns the number of bytes that came.
 */
static size_t read_body(reader_t *reader, size_t length, size_t rate)
{
	size_t total = reader->n < length ? reader->n : length;
	size_t most =
		rate && rate / TURNS_PER_S < BLOCK ? rate / TURNS_PER_S : BLOCK;
	char block[BLOCK];

	reader->n -= total;
	memmove(reader->bytes, reader->bytes + total, reader->n);
	while (total < length) {
		size_t want = length - total < most ? length - total : most;
		ssize_t n = recv(reader->fd, block, want, 0);

		if (n <= 0)
			break;
		total += (size_t)n;
		if (rate)
			sleep_ms((uint64_t)n * 1000 / rate);
	}
	return total;
}

/* What a server does, for all of its connections. */
typedef struct {
	const char *id;
	const char *service;
	const char *listen;
	const char *control;
	long work;
	long rate;
	long answer;
	long slots;
	long beat;
	uint64_t born;
} server_t;

static server_t server;

/* Works for some ms; returns false if the caller closed the connection. */
static bool work(int fd, uint64_t ms)
{
	uint64_t end = now_ms() + ms;
	struct pollfd wait = {.fd = fd, .events = POLLRDHUP};

	for (;;) {
		uint64_t now = now_ms();

		if (now >= end)
			return true;
		if (poll(&wait, 1, (int)(end - now)) > 0)
			return false;
	}
}

static bool answer(int fd, const char *id, size_t length)
{
	char head[512];
	int n = snprintf(head, sizeof(head),
			 "HTTP/1.1 200 OK\r\n" REQUEST_ID
			 ": %s\r\n" RESPONSE_SEAL
			 ": seal.%s\r\nKeep-Alive: timeout=10\r\n"
			 "Content-Length: %zu\r\n\r\n",
			 id, id, length);

	return send_all(fd, head, (size_t)n) && send_filler(fd, length);
}

static bool reject(int fd, const char *id)
{
	char head[512];
	int n = snprintf(head, sizeof(head),
			 "HTTP/1.1 421 Misdirected Request\r\n" REQUEST_ID
			 ": %s\r\n" NOT_EXECUTED ": instance\r\n"
			 "Content-Length: 0\r\n\r\n",
			 id);

	return send_all(fd, head, (size_t)n);
}

/* Answers before it reads the body, keeps the connection and reads on later. */
static bool answer_early(reader_t *reader, const char *id, size_t body)
{
	size_t got;

	note("server %s runs %s", server.id, id);
	note("server %s ends %s", server.id, id);
	if (!answer(reader->fd, id, 1))
		return false;
	got = read_body(reader, body, (size_t)server.rate);
	note("server %s has read the body of %s: %zu of %zu", server.id, id,
	     got, body);
	return got == body;
}

/* Serves one request; returns false at the end of the connection. */
static bool serve(reader_t *reader)
{
	char head[HEAD_MAX], id[128], length[128], target[128], line[96];
	size_t body, got;

	if (!read_head(reader, head))
		return false;
	get_header(head, REQUEST_ID, id);
	get_header(head, "Content-Length", length);
	get_header(head, TARGET_INSTANCE, target);
	snprintf(line, sizeof(line), "%.*s", (int)strcspn(head, "\r"), head);
	body = strtoul(length, NULL, 10);
	if (target[0] && strcmp(target, server.id) != 0)
		return read_body(reader, body, 0) == body &&
		       reject(reader->fd, id);
	note("server %s reached %s body=%zu %s", server.id, id, body, line);
	if (strstr(line, "/early/"))
		return answer_early(reader, id, body);
	got = read_body(reader, body, (size_t)server.rate);
	if (got != body) {
		note("server %s cut %s got=%zu", server.id, id, got);
		return false;
	}
	note("server %s runs %s", server.id, id);
	if (!work(reader->fd, (uint64_t)server.work)) {
		note("server %s dropped %s", server.id, id);
		return false;
	}
	note("server %s ends %s", server.id, id);
	/* A request for number 0 is only there to have used the connection. */
	return answer(reader->fd, id,
		      strstr(line, "/0 HTTP") ? 1 : (size_t)server.answer);
}

static void *serve_connection(void *data)
{
	reader_t *reader = calloc(1, sizeof(*reader));

	if (!reader)
		_exit(2);
	reader->fd = (int)(intptr_t)data;
	while (serve(reader))
		;
	close(reader->fd);
	free(reader);
	return NULL;
}

/* Sends a request and reads the status and the body of the answer. */
static int exchange(const char *where, const char *head, const char *body,
		    char *out, size_t size, char location[128])
{
	reader_t *reader = calloc(1, sizeof(*reader));
	char answer_head[HEAD_MAX], length[128];
	size_t n, i;
	int status = 0;

	if (!reader)
		_exit(2);
	out[0] = '\0';
	reader->fd = connect_to(where);
	if (reader->fd >= 0 && send_all(reader->fd, head, strlen(head)) &&
	    send_all(reader->fd, body, strlen(body)) &&
	    read_head(reader, answer_head)) {
		status = (int)strtol(answer_head + strlen("HTTP/1.1 "), NULL,
				     10);
		get_header(answer_head, "Location", location);
		get_header(answer_head, "Content-Length", length);
		n = strtoul(length, NULL, 10);
		for (i = 0; i < n && i + 1 < size; i++) {
			if (reader->n) {
				out[i] = reader->bytes[0];
				memmove(reader->bytes, reader->bytes + 1,
					--reader->n);
			} else if (recv(reader->fd, out + i, 1, 0) != 1) {
				break;
			}
		}
		out[i] = '\0';
	}
	if (reader->fd >= 0)
		close(reader->fd);
	free(reader);
	return status;
}

static int report(const char *id, uint64_t born, uint64_t sequence,
		  const char *state)
{
	char body[512], head[512], out[256], location[128];

	snprintf(body, sizeof(body),
		 "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"zone-a\","
		 "\"version\":\"v1\",\"slots\":%ld,\"state\":\"%s\","
		 "\"" COLD_LEFT "\":\"0ms\",\"sequence\":%llu,\"born\":%llu}",
		 server.service, server.listen, server.slots, state,
		 (unsigned long long)sequence, (unsigned long long)born);
	snprintf(head, sizeof(head),
		 "PUT /quetzalloft/instances/%s HTTP/1.1\r\nHost: control\r\n"
		 "Content-Type: application/json\r\nContent-Length: %zu\r\n"
		 "Connection: close\r\n\r\n",
		 id, strlen(body));
	return exchange(server.control, head, body, out, sizeof(out), location);
}

static volatile sig_atomic_t is_draining;

static void begin_drain(int signal_number)
{
	(void)signal_number;
	is_draining = 1;
}

/* Reports every beat, and at once when the drain begins. */
static void *send_reports(void *data)
{
	uint64_t sequence = 0, next = 0;
	bool confirmed = false;
	int status;

	(void)data;
	for (;;) {
		sleep_ms(10);
		if (now_ms() < next && (!is_draining || confirmed))
			continue;
		next = now_ms() + (uint64_t)server.beat;
		status = report(server.id, server.born, ++sequence,
				is_draining ? "draining" : "ready");
		if (!is_draining || confirmed)
			continue;
		note("server %s draining has answer %d", server.id, status);
		confirmed = status == 200;
	}
	return NULL;
}

static int run_server(char **arguments)
{
	struct sockaddr_in address;
	pthread_attr_t attributes;
	pthread_t thread;
	int fd, one = 1;

	open_record(text_option(arguments, "record", "/dev/null"));
	signal(SIGUSR1, begin_drain);
	server = (server_t){
		.id = text_option(arguments, "id", "i-1"),
		.service = text_option(arguments, "service", "s"),
		.listen = text_option(arguments, "listen", ""),
		.control = text_option(arguments, "control", ""),
		.work = option(arguments, "work", 10),
		.rate = option(arguments, "rate", 0),
		.answer = option(arguments, "answer", 100),
		.slots = option(arguments, "slots", 69),
		.beat = option(arguments, "beat", 1500),
		.born = (uint64_t)time(NULL) * 1000,
	};
	address = parse_address(server.listen);
	fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) ||
	    listen(fd, 1024))
		return 2;
	pthread_attr_init(&attributes);
	pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
	pthread_attr_setstacksize(&attributes, 512 * 1024);
	pthread_create(&thread, &attributes, send_reports, NULL);
	for (;;) {
		int peer = accept(fd, NULL, NULL);

		if (peer >= 0 &&
		    pthread_create(&thread, &attributes, serve_connection,
				   (void *)(intptr_t)peer))
			close(peer);
	}
}

/* What one client sends, and how it behaves. */
typedef struct {
	const char *to;
	const char *host;
	const char *path;
	const char *method;
	const char *name;
	long body;
	long depth;
	long split;
	long warm;
	long deadline;
	int number;
	int served;
} client_t;

static pthread_barrier_t together;

/* Writes the head of a request, and returns its length. */
static size_t make_head(const client_t *client, int request, size_t body,
			char head[HEAD_LINE])
{
	int n = snprintf(head, HEAD_LINE,
			 "%s %s%d HTTP/1.1\r\nHost: %s\r\n" REQUEST_ID
			 ": %s%02d%04d\r\n" DEADLINE_MS ": %ld\r\n",
			 body ? client->method : "GET", client->path, request,
			 client->host, client->name, client->number, request,
			 client->deadline);

	if (body)
		n += snprintf(head + n, HEAD_LINE - (size_t)n,
			      "Content-Length: %zu\r\n", body);
	n += snprintf(head + n, HEAD_LINE - (size_t)n, "\r\n");
	return (size_t)n;
}

static bool send_request(const client_t *client, int fd, int request,
			 size_t body)
{
	char head[HEAD_LINE];
	size_t length = make_head(client, request, body, head);

	return send_all(fd, head, length) && send_filler(fd, body);
}

/*
 * Sends requests without a body, in two segments: @whole requests and a part
 * of the next one, and 50 ms later the rest.
 */
static bool send_in_two(const client_t *client, int fd, long whole)
{
	char *bytes = malloc((size_t)client->depth * HEAD_LINE);
	size_t length = 0, first = 0;
	bool sent;
	long i;

	if (!bytes)
		_exit(2);
	for (i = 1; i <= client->depth; i++) {
		if (i == whole + 1)
			first = length + HEAD_PART;
		length += make_head(client, (int)i, 0, bytes + length);
	}
	sent = send_all(fd, bytes, first);
	sleep_ms(50);
	sent = sent && send_all(fd, bytes + first, length - first);
	free(bytes);
	return sent;
}

/*
 * Reads one answer. Returns the status, or 0 if
 * the connection ended before the whole answer.
 */
static int read_answer(const client_t *client, reader_t *reader)
{
	char head[HEAD_MAX], id[128], length[128];
	size_t want, got;
	int status;

	if (!read_head(reader, head)) {
		note("client %s%02d cut, no answer", client->name,
		     client->number);
		return 0;
	}
	status = (int)strtol(head + strlen("HTTP/1.1 "), NULL, 10);
	get_header(head, REQUEST_ID, id);
	get_header(head, "Content-Length", length);
	want = strtoul(length, NULL, 10);
	got = read_body(reader, want, 0);
	if (strcasestr(head, "transfer-encoding: chunked")) {
		note("client %s%02d got a chunked answer", client->name,
		     client->number);
		return 0;
	}
	if (got != want) {
		note("client %s%02d cut in the answer to %s: %zu of %zu bytes",
		     client->name, client->number, id, got, want);
		return 0;
	}
	note("client %s%02d got %d for %s", client->name, client->number,
	     status, id);
	return status;
}

static void send_burst(client_t *client, reader_t *reader)
{
	bool sent = true;
	long i;

	for (i = 1; i <= client->depth && sent && !client->split; i++)
		sent = send_request(client, reader->fd, (int)i,
				    (size_t)client->body);
	if (client->split)
		sent = send_in_two(client, reader->fd, client->split);
	if (!sent) {
		note("client %s%02d cut while it sent", client->name,
		     client->number);
		return;
	}
	note("client %s%02d sent %ld", client->name, client->number,
	     client->depth);
	for (i = 1; i <= client->depth; i++) {
		int status = read_answer(client, reader);

		if (!status)
			return;
		client->served += status == 200;
	}
}

static void *run_one_client(void *data)
{
	client_t *client = data;
	reader_t *reader = calloc(1, sizeof(*reader));
	bool warm = true;

	if (!reader)
		_exit(2);
	reader->fd = connect_to(client->to);
	if (client->warm)
		warm = reader->fd >= 0 &&
		       send_request(client, reader->fd, 0, 0) &&
		       read_answer(client, reader) == 200;
	pthread_barrier_wait(&together);
	if (reader->fd >= 0 && warm)
		send_burst(client, reader);
	else
		note("client %s%02d did not begin", client->name,
		     client->number);
	if (reader->fd >= 0)
		close(reader->fd);
	free(reader);
	return NULL;
}

static int run_clients(char **arguments)
{
	long n = option(arguments, "clients", 1), i;
	client_t *clients = calloc((size_t)n, sizeof(*clients));
	pthread_t *threads = calloc((size_t)n, sizeof(*threads));
	int served = 0;

	if (!clients || !threads)
		return 2;
	open_record(text_option(arguments, "record", "/dev/null"));
	pthread_barrier_init(&together, NULL, (unsigned int)n);
	for (i = 0; i < n; i++) {
		clients[i] = (client_t){
			.to = text_option(arguments, "to", ""),
			.host = text_option(arguments, "host", "h"),
			.path = text_option(arguments, "path", "/"),
			.method = text_option(arguments, "method", "POST"),
			.name = text_option(arguments, "name", "c"),
			.body = option(arguments, "body", 0),
			.depth = option(arguments, "depth", 1),
			.split = option(arguments, "split", 0),
			.warm = option(arguments, "warm", 1),
			.deadline = option(arguments, "deadline", 5000),
			.number = (int)i + 1,
		};
		pthread_create(&threads[i], NULL, run_one_client, &clients[i]);
	}
	for (i = 0; i < n; i++) {
		pthread_join(threads[i], NULL);
		served += clients[i].served;
	}
	printf("%d\n", served);
	return 0;
}

/*
 * Makes a call of the operator's kind, and follows a redirection twice. Returns
 * the status, or 0 without an answer.
 */
static int call(char **arguments, char *out, size_t size)
{
	char head[1024], location[128] = "", where[64];
	const char *header = arguments[3] ? arguments[3] : "";
	const char *body = arguments[3] && arguments[4] ? arguments[4] : "";
	bool has_host = !strncmp(header, "Host:", 5);
	int status = 0, turn;

	snprintf(where, sizeof(where), "%s", arguments[1]);
	for (turn = 0; turn < 3; turn++) {
		snprintf(head, sizeof(head),
			 "%s %s HTTP/1.1\r\n%s%s%s%s%s" REQUEST_ID
			 ": call%d-%d\r\n"
			 "Content-Type: application/json\r\n"
			 "Connection: close\r\nContent-Length: %zu\r\n\r\n",
			 arguments[0], arguments[2],
			 has_host ? "" : "Host: ", has_host ? "" : where,
			 has_host ? "" : "\r\n", header,
			 header[0] ? "\r\n" : "", (int)getpid(), turn,
			 strlen(body));
		status = exchange(where, head, body, out, size, location);
		if (status != 307 || strncmp(location, "http://", 7) != 0)
			break;
		snprintf(where, sizeof(where), "%.*s",
			 (int)strcspn(location + 7, "/"), location + 7);
	}
	return status;
}

static char call_answer[1 << 20];

/*
 * call METHOD ADDRESS PATH [HEADER] [BODY]: prints the status and the body.
 */
static int run_call(char **arguments)
{
	int status = call(arguments, call_answer, sizeof(call_answer));

	printf("%d %s\n", status, call_answer);
	return 0;
}

/* Resident memory of a process, in KiB; 0 when it has ended. */
static long resident_kib(long pid)
{
	char path[64], line[128];
	long pages = 0;
	FILE *file;

	snprintf(path, sizeof(path), "/proc/%ld/statm", pid);
	file = fopen(path, "r");
	if (!file)
		return 0;
	if (fgets(line, sizeof(line), file)) {
		char *second = strchr(line, ' ');

		pages = second ? strtol(second, NULL, 10) : 0;
	}
	fclose(file);
	return pages * (sysconf(_SC_PAGESIZE) / 1024);
}

/* memory PID MIB: kills the process when it uses more than its machine has. */
static int run_memory(char **arguments)
{
	long pid = strtol(arguments[0], NULL, 10);
	long limit = strtol(arguments[1], NULL, 10) * 1024;
	long noted = 0, now;

	open_record(text_option(arguments, "record", "/dev/null"));
	while ((now = resident_kib(pid)) > 0) {
		if (now > limit) {
			kill((pid_t)pid, SIGKILL);
			note("platform killed process %ld: %ld KiB, limit %ld",
			     pid, now, limit);
			return 0;
		}
		if (now > noted + 16 * 1024) {
			note("platform sees process %ld use %ld KiB", pid, now);
			noted = now;
		}
		sleep_ms(2);
	}
	return 0;
}

/* port N: prints the first of N ports in a row that are free. */
static int run_port(char **arguments)
{
	long n = strtol(arguments[0], NULL, 10), i, turn;
	unsigned int seed = (unsigned int)getpid();

	for (turn = 0; turn < 200; turn++) {
		long first = 21000 + rand_r(&seed) % 10000;
		bool free_all = true;

		for (i = 0; i < n && free_all; i++) {
			struct sockaddr_in any = {
				.sin_family = AF_INET,
				.sin_port = htons((uint16_t)(first + i)),
			};
			int fd = socket(AF_INET, SOCK_STREAM, 0);

			free_all =
				!bind(fd, (struct sockaddr *)&any, sizeof(any));
			close(fd);
		}
		if (free_all) {
			printf("%ld\n", first);
			return 0;
		}
	}
	return 2;
}

int main(int argc, char **argv)
{
	static const struct {
		const char *name;
		int least;
		int (*run)(char **arguments);
	} verbs[] = {
		{"server", 1, run_server}, {"clients", 1, run_clients},
		{"call", 3, run_call},	   {"memory", 2, run_memory},
		{"port", 1, run_port},

	};
	size_t i;

	signal(SIGPIPE, SIG_IGN);
	for (i = 0; argc > 1 && i < sizeof(verbs) / sizeof(verbs[0]); i++)
		if (!strcmp(argv[1], verbs[i].name) &&
		    argc >= 2 + verbs[i].least)
			return verbs[i].run(argv + 2);
	fprintf(stderr, "usage: stand server|clients|call|memory|port\n");
	return 2;
}
