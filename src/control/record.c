#include "quetzalloft/record.h"
#include "quetzalloft/address.h"
#include "quetzalloft/error.h"

#include <string.h>
#include <xxhash.h>

static int compare_numbers(uint64_t a, uint64_t b)
{
	return (a > b) - (a < b);
}

static int compare_versions(const ql_record_version_t *a,
			    const ql_record_version_t *b)
{
	int order = compare_numbers(a->epoch, b->epoch);

	if (!order)
		order = compare_numbers(a->incarnation, b->incarnation);
	return order ? order : compare_numbers(a->state, b->state);
}

static bool is_warm(uint64_t started_ms, uint64_t warm_up_ms, uint64_t now_ms)
{
	return now_ms >= started_ms + warm_up_ms;
}

const ql_membership_rules_t ql_membership_rules = {
	.compare = compare_versions,
	.is_warm = is_warm,
};

ql_record_version_t ql_record_version_of(const ql_rpc_endpoint *endpoint)
{
	ql_record_version_t version = {
		.epoch = endpoint->epoch,
		.incarnation = endpoint->incarnation,
		.state = endpoint->state,
	};

	return version;
}

void ql_record_key(char *out, const char *service, const char *gate)
{
	g_snprintf(out, QL_RECORD_KEY_MAX, "%s %s", service, gate);
}

uint64_t ql_record_digest(const char *service, const char *gate,
			  const ql_record_version_t *version)
{
	char key[QL_RECORD_KEY_MAX];
	uint64_t numbers[2] = {version->epoch, version->incarnation};
	uint64_t seed = XXH3_64bits(numbers, sizeof(numbers));

	ql_record_key(key, service, gate);
	return XXH3_64bits_withSeed(key, strlen(key),
				    seed + (uint64_t)version->state);
}

bool ql_name_is_valid(const char *name)
{
	size_t i;

	for (i = 0; name[i]; i++)
		if (!g_ascii_isalnum(name[i]) && !strchr("._-", name[i]))
			return false;
	return i > 0 && i < QL_NAME_MAX;
}

int ql_record_check(const ql_rpc_endpoint *endpoint)
{
	struct sockaddr_in unused;

	if (!ql_name_is_valid(endpoint->service) ||
	    !ql_name_is_valid(endpoint->node) ||
	    !ql_name_is_valid(endpoint->failure_domain) ||
	    endpoint->state > QL_RPC_ENDPOINT_GONE ||
	    endpoint->slots > QL_SLOTS_MAX)
		return QL_E_INVALID;
	return ql_address_parse(&unused, endpoint->gate, NULL);
}
