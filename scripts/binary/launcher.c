/* Runs the Python interpreter and modules that are appended to this program.
 *
 * The binary consists of this program, the native files and an uncompressed zip
 * archive of the Python modules. The archive's comment is the trailer, which
 * gives the offset and size of the native files. These are unpacked once per
 * build, into a subdirectory of BERGAMOTTHREAD_MEMORY_DIR, which must be on a
 * memory file system (tmpfs or ramfs). Python modules are imported from the
 * binary itself. The interpreter runs in this process; no other is started.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <ftw.h>
#include <limits.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/vfs.h>
#include <unistd.h>

#define DIRECTORY_VARIABLE "BERGAMOTTHREAD_MEMORY_DIR"
#define TRAILER_BYTES 58 /* "BTBUNDLE1 " digest16 " " offset15 " " size15 */
#define TMPFS_MAGIC 0x01021994
#define RAMFS_MAGIC 0x858458f6
#define EXIT_SETTINGS 2
#define EXIT_START 1
#define COPY_BYTES 65536
#define MAX_PRELOADED 64
#define PRELOAD_PREFIX "lib/preload/"
#define FIXED_ARGUMENTS 6

extern char **environ;

typedef int (*main_function)(int, char **);

/* Prints one line to stderr and exits with the code. */
static _Noreturn void fail(int code, const char *what, const char *found,
                           const char *expected) {
  fprintf(stderr, "bergamotthread: %s: %s, expected %s\n", what, found,
          expected);
  exit(code);
}

/* Writes a path to a buffer of PATH_MAX bytes; exits if it does not fit. */
static void format_path(char *path, const char *format, ...) {
  va_list parts;
  va_start(parts, format);
  int length = vsnprintf(path, PATH_MAX, format, parts);
  va_end(parts);
  if (length < 0 || length >= PATH_MAX)
    fail(EXIT_SETTINGS, DIRECTORY_VARIABLE, "path too long",
         "a shorter path");
}

/* Reads exactly size bytes; exits at the end of the file or on an error. */
static void read_fully(int file, void *buffer, size_t size) {
  char *next = buffer;
  while (size > 0) {
    ssize_t count = read(file, next, size);
    if (count <= 0)
      fail(EXIT_START, "binary", "truncated", "a complete file");
    next += count;
    size -= (size_t)count;
  }
}

/* Creates the parent directories of path that follow its first from bytes. */
static void make_parents(char *path, size_t from) {
  for (char *slash = strchr(path + from, '/'); slash;
       slash = strchr(slash + 1, '/')) {
    *slash = '\0';
    if (mkdir(path, 0700) && errno != EEXIST)
      fail(EXIT_START, path, strerror(errno), "a directory to unpack into");
    *slash = '/';
  }
}

/* Copies the next size bytes of source to a new file, mode 0500. */
static void copy_file(int source, const char *path, uint64_t size) {
  static char buffer[COPY_BYTES];
  int target = open(path, O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, 0500);
  if (target < 0)
    fail(EXIT_START, path, strerror(errno), "a file to unpack into");
  while (size > 0) {
    size_t part = size < COPY_BYTES ? (size_t)size : COPY_BYTES;
    read_fully(source, buffer, part);
    if (write(target, buffer, part) != (ssize_t)part)
      fail(EXIT_START, path, strerror(errno), "free space to unpack into");
    size -= part;
  }
  close(target);
}

/* Unpacks size bytes of native files from source into directory.
 *
 * Each file is stored as: length of its name (uint32), length of its content
 * (uint64), name, content. The standard library is found through a link to the
 * binary in the place where Python looks for its zip archive.
 */
static void unpack(int source, const char *directory, uint64_t size) {
  char path[PATH_MAX];
  size_t base = strlen(directory) + 1;
  while (size > 0) {
    uint32_t name_bytes;
    uint64_t file_bytes;
    read_fully(source, &name_bytes, sizeof name_bytes);
    read_fully(source, &file_bytes, sizeof file_bytes);
    if (base + name_bytes + 1 > sizeof path)
      fail(EXIT_START, directory, "path too long", "a shorter path");
    format_path(path, "%s/", directory);
    read_fully(source, path + base, name_bytes);
    path[base + name_bytes] = '\0';
    make_parents(path, base);
    copy_file(source, path, file_bytes);
    size -= sizeof name_bytes + sizeof file_bytes + name_bytes + file_bytes;
  }
  format_path(path, "%s/lib/python311.zip", directory);
  if (symlink("/proc/self/exe", path))
    fail(EXIT_START, path, strerror(errno), "a link to the binary");
}

/* Callback of nftw: removes one file or empty directory. */
static int remove_one(const char *path, const struct stat *state, int kind,
                      struct FTW *place) {
  (void)state, (void)kind, (void)place;
  return remove(path);
}

/* Returns 1 if path is a private directory of this user, 0 if it is missing.
 *
 * Exits if others own it or have any access to it: they could have replaced the
 * libraries that are loaded from there.
 */
static int is_own_directory(const char *path) {
  struct stat state;
  if (lstat(path, &state))
    return 0;
  if (!S_ISDIR(state.st_mode) || state.st_uid != geteuid() ||
      (state.st_mode & 077))
    fail(EXIT_SETTINGS, path, "not private to this user",
         "a directory of mode 0700 that this user owns");
  return 1;
}

/* Returns the directory from the environment; exits unless it is in memory. */
static const char *memory_directory(void) {
  const char *directory = getenv(DIRECTORY_VARIABLE);
  struct statfs state;
  if (!directory || directory[0] != '/')
    fail(EXIT_SETTINGS, DIRECTORY_VARIABLE, directory ? directory : "not set",
         "the absolute path of a directory in memory");
  if (statfs(directory, &state))
    fail(EXIT_SETTINGS, directory, strerror(errno), "a directory in memory");
  if (state.f_type != TMPFS_MAGIC && state.f_type != (long)RAMFS_MAGIC)
    fail(EXIT_SETTINGS, directory, "not on a memory file system",
         "a directory in memory (tmpfs or ramfs)");
  return directory;
}

/* Unpacks the native files unless this build's directory exists.
 *
 * Writes its path to directory. Files are unpacked under a temporary name and
 * renamed, so that a directory is either complete or missing. If another
 * process renames its own first, this one's is removed and that one is used.
 */
static void prepare(char *directory) {
  char trailer[TRAILER_BYTES + 1] = {0}, digest[17];
  char fresh[PATH_MAX];
  unsigned long long offset, size;
  int source = open("/proc/self/exe", O_RDONLY | O_CLOEXEC);
  lseek(source, -TRAILER_BYTES, SEEK_END);
  read_fully(source, trailer, TRAILER_BYTES);
  if (sscanf(trailer, "BTBUNDLE1 %16s %llu %llu", digest, &offset, &size) != 3)
    fail(EXIT_START, "binary", "no trailer",
         "a binary built by scripts/build-binary");
  const char *parent = memory_directory();
  format_path(directory, "%s/bergamotthread-%s", parent, digest);
  if (!is_own_directory(directory)) {
    format_path(fresh, "%s.%d", directory, (int)getpid());
    if (mkdir(fresh, 0700))
      fail(EXIT_START, fresh, strerror(errno), "a new directory");
    lseek(source, (off_t)offset, SEEK_SET);
    unpack(source, fresh, size);
    if (rename(fresh, directory)) {
      nftw(fresh, remove_one, 16, FTW_DEPTH | FTW_PHYS);
      if (!is_own_directory(directory))
        fail(EXIT_START, directory, strerror(errno), "the unpacked files");
    }
  }
  close(source);
}

/* Loads libpython and the system libraries that extensions link to.
 *
 * The file "order" lists a library after those that it needs. Since they are
 * loaded already, extensions find them without a library search path.
 */
static void preload(const char *directory) {
  char path[PATH_MAX], name[NAME_MAX + 1];
  format_path(path, "%s/" PRELOAD_PREFIX "order", directory);
  FILE *order = fopen(path, "r");
  if (!order)
    fail(EXIT_START, path, strerror(errno), "the list of libraries");
  while (fscanf(order, "%255s", name) == 1) {
    format_path(path, "%s/" PRELOAD_PREFIX "%s", directory, name);
    if (!dlopen(path, RTLD_NOW | RTLD_GLOBAL))
      fail(EXIT_START, name, dlerror(), "a loadable library");
  }
  fclose(order);
}

/* Unsets all PYTHON... variables: they are meant for other interpreters. */
static void clear_python_variables(void) {
  for (char **entry = environ; *entry;) {
    char *equals = strchr(*entry, '=');
    if (!strncmp(*entry, "PYTHON", 6) && equals) {
      char *name = strndup(*entry, (size_t)(equals - *entry));
      unsetenv(name);
      free(name);
    } else {
      entry++;
    }
  }
}

int main(int count, char **arguments) {
  char directory[PATH_MAX];
  prepare(directory);
  preload(directory);
  main_function run = (main_function)dlsym(RTLD_DEFAULT, "Py_BytesMain");
  if (!run)
    fail(EXIT_START, "Py_BytesMain", "symbol not found",
         "libpython of Python 3.11");
  clear_python_variables();
  setenv("PYTHONHOME", directory, 1);
  /* -s: no packages of the user; -B: write no .pyc files; -P: the working
   * directory is not on the import path. */
  char *fixed[FIXED_ARGUMENTS] = {arguments[0], "-s", "-B",
                                  "-P",         "-m", "bergamotthread"};
  char **all = calloc((size_t)count + FIXED_ARGUMENTS, sizeof *all);
  memcpy(all, fixed, sizeof fixed);
  memcpy(all + FIXED_ARGUMENTS, arguments + 1, (size_t)count * sizeof *all);
  return run(count - 1 + FIXED_ARGUMENTS, all);
}
