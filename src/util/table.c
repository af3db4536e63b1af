#include "quetzalloft/table.h"

#include <string.h>

#define INDEX_BITS 20
#define INDEX_MASK ((1u << INDEX_BITS) - 1)
#define GENERATION_MASK 0xfffu
#define INITIAL_CAPACITY 16u

void ql_table_init(ql_table_t *table, size_t row_bytes, uint32_t capacity_max)
{
	g_assert(row_bytes && capacity_max <= QL_TABLE_CAPACITY_MAX);
	memset(table, 0, sizeof(*table));
	table->row_bytes = row_bytes;
	table->capacity_max = capacity_max;
}

void ql_table_finish(ql_table_t *table)
{
	g_free(table->rows);
	g_free(table->generations);
	g_free(table->live);
	g_free(table->next_free);
	memset(table, 0, sizeof(*table));
}

static bool grow(ql_table_t *table)
{
	uint32_t old = table->capacity;
	uint32_t capacity = old ? old * 2 : INITIAL_CAPACITY;
	uint32_t i;

	if (capacity > table->capacity_max)
		capacity = table->capacity_max;
	if (capacity == old)
		return false;
	table->rows = g_realloc_n(table->rows, capacity, table->row_bytes);
	table->generations = g_renew(uint16_t, table->generations, capacity);
	table->live = g_renew(bool, table->live, capacity);
	table->next_free = g_renew(uint32_t, table->next_free, capacity);
	for (i = old; i < capacity; i++) {
		table->generations[i] = 0;
		table->live[i] = false;
		table->next_free[i] = i + 1;
	}
	table->capacity = capacity;
	table->free_head = old;
	return true;
}

static ql_handle_t make_handle(const ql_table_t *table, uint32_t index)
{
	return ((uint32_t)table->generations[index] << INDEX_BITS) | index;
}

ql_handle_t ql_table_insert(ql_table_t *table, void **row)
{
	uint32_t index;

	*row = NULL;
	if (table->count == table->capacity && !grow(table))
		return QL_HANDLE_NONE;
	index = table->free_head;
	table->free_head = table->next_free[index];
	table->live[index] = true;
	table->count++;
	*row = table->rows + (size_t)index * table->row_bytes;
	memset(*row, 0, table->row_bytes);
	return make_handle(table, index);
}

void *ql_table_get(const ql_table_t *table, ql_handle_t handle)
{
	uint32_t index = handle & INDEX_MASK;

	if (handle == QL_HANDLE_NONE || index >= table->capacity ||
	    !table->live[index] ||
	    table->generations[index] != handle >> INDEX_BITS)
		return NULL;
	return table->rows + (size_t)index * table->row_bytes;
}

void ql_table_remove(ql_table_t *table, ql_handle_t handle)
{
	uint32_t index = handle & INDEX_MASK;

	if (!ql_table_get(table, handle))
		return;
	table->live[index] = false;
	table->generations[index] =
		(table->generations[index] + 1) & GENERATION_MASK;
	table->next_free[index] = table->free_head;
	table->free_head = index;
	table->count--;
}

void *ql_table_next(const ql_table_t *table, uint32_t *cursor,
		    ql_handle_t *handle)
{
	uint32_t index;

	while (*cursor < table->capacity) {
		index = (*cursor)++;
		if (!table->live[index])
			continue;
		*handle = make_handle(table, index);
		return table->rows + (size_t)index * table->row_bytes;
	}
	return NULL;
}
