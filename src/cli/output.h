#ifndef QL_CLI_OUTPUT_H
#define QL_CLI_OUTPUT_H

/**
 * DOC: What commands print: aligned tables for people, JSON for programs.
 */

#include <glib.h>
#include <jansson.h>

G_BEGIN_DECLS

/**
 * struct ql_sheet - A table of text.
 * @n_columns: its width
 * @cells: the cells row by row, the titles first
 */
typedef struct ql_sheet {
	size_t n_columns;
	GPtrArray *cells;
} ql_sheet_t;

/**
 * ql_sheet_init() - Begin a table.
 * @sheet: the table
 * @titles: a title for each column, ended by NULL
 */
void ql_sheet_init(ql_sheet_t *sheet, const char *const *titles);

void ql_sheet_finish(ql_sheet_t *sheet);

/**
 * ql_sheet_add() - Add a cell; rows fill from left to right.
 * @sheet: the table
 * @text: its text, NULL or empty for "-"; control characters become '?', so
 *        that no name can forge a line or drive the terminal
 */
void ql_sheet_add(ql_sheet_t *sheet, const char *text);

/**
 * ql_sheet_add_number() - Add a cell with a whole number.
 * @sheet: the table
 * @number: the number
 */
void ql_sheet_add_number(ql_sheet_t *sheet, json_int_t number);

/**
 * ql_sheet_add_member() - Add a cell with the member of a JSON object.
 * @sheet: the table
 * @object: the object
 * @key: name of the member; "-" stands for one that is absent
 */
void ql_sheet_add_member(ql_sheet_t *sheet, const json_t *object,
			 const char *key);

/**
 * ql_sheet_text() - Align the columns.
 * @sheet: the table
 *
 * Return: a string to free with g_free().
 */
char *ql_sheet_text(const ql_sheet_t *sheet);

/**
 * ql_sheet_print() - Write the table to standard output.
 * @sheet: the table
 */
void ql_sheet_print(const ql_sheet_t *sheet);

/**
 * ql_output_json() - Write a value and a line end to standard output.
 * @value: the value; a reference is dropped
 */
void ql_output_json(json_t *value);

G_END_DECLS

#endif
