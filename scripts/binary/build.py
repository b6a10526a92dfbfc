"""Builds the one binary: launcher, native files and an archive of modules."""

from __future__ import annotations

import argparse
import hashlib
import importlib.metadata
import io
import py_compile
import re
import shutil
import struct
import subprocess
import sys
import sysconfig
import tempfile
import tomllib
import zipfile
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
LAUNCHER = Path(__file__).parent / 'launcher.c'
NATIVE_SITE = 'lib/python3.11/site-packages'
NATIVE_STDLIB = 'lib/python3.11/lib-dynload'
PRELOAD = 'lib/preload'
OWN_PACKAGES = ('bergamotthread', 'standins')
ZIP_DATE = (1980, 1, 1, 0, 0, 0)
EXCLUDED_STDLIB = {
    '__pycache__', 'config-3.11-x86_64-linux-gnu', 'distutils', 'ensurepip',
    'idlelib', 'lib-dynload', 'lib2to3', 'pydoc_data', 'site-packages',
    'test', 'tests', 'tkinter', 'turtledemo', 'turtle.py', 'venv',
}  # fmt: skip
EXCLUDED_EXTENSIONS = re.compile(
    r'(_test|_xx|xx|_tkinter|_curses|readline|_dbm|_gdbm|nis|ossaudiodev)',
)
LIBC = re.compile(
    r'(ld-linux|libc|libm|libdl|librt|libpthread|libutil|libresolv|libnsl'
    r'|linux-vdso|libpython)[.\-0-9]',
)


class BuildError(Exception):
    """The binary cannot be built here."""


class Bundle:
    """Files that the binary carries, by their name in it."""

    def __init__(self, staging: Path) -> None:
        self.native_by_name: dict[str, bytes] = {}
        self.modules_by_name: dict[str, bytes] = {}
        self._staging = staging

    def add_module(self, path: Path, name: str) -> None:
        """Add a compiled module; own ones with their source."""
        if name.startswith(OWN_PACKAGES):
            self.modules_by_name[name] = path.read_bytes()
        self.modules_by_name[f'{name}c'] = self.compile(path, name)

    def compile(self, path: Path, name: str) -> bytes:
        """Return the code of a module, to be used without checks."""
        target = self._staging / 'module.pyc'
        py_compile.compile(
            str(path),
            cfile=str(target),
            dfile=name,
            doraise=True,
            invalidation_mode=py_compile.PycInvalidationMode.UNCHECKED_HASH,
        )
        return target.read_bytes()


def add_stdlib(bundle: Bundle) -> None:
    """Add the standard library and its extensions."""
    stdlib = Path(sysconfig.get_path('stdlib'))
    for path in sorted(stdlib.rglob('*.py')):
        relative = path.relative_to(stdlib)
        if not EXCLUDED_STDLIB.intersection(relative.parts):
            bundle.add_module(path, str(relative))
    for path in sorted((stdlib / 'lib-dynload').glob('*.so')):
        if not EXCLUDED_EXTENSIONS.match(path.name):
            name = f'{NATIVE_STDLIB}/{path.name}'
            bundle.native_by_name[name] = stripped(path)


def runtime_distributions() -> list[importlib.metadata.Distribution]:
    """Return what the project depends on, directly and through others."""
    project = tomllib.loads((ROOT / 'pyproject.toml').read_text())['project']
    waiting = list(project['dependencies'])
    found: dict[str, importlib.metadata.Distribution] = {}
    while waiting:
        requirement = waiting.pop()
        name, _, marker = requirement.partition(';')
        key = re.split(r'[^A-Za-z0-9_.\-]', name.strip())[0].lower()
        if 'extra' in marker or key in found:
            continue
        try:
            found[key] = importlib.metadata.distribution(key)
        except importlib.metadata.PackageNotFoundError:
            if not marker:
                raise
            continue
        waiting.extend(found[key].requires or ())
    return [found[key] for key in sorted(found)]


def add_distribution(
    bundle: Bundle,
    distribution: importlib.metadata.Distribution,
) -> None:
    """Add a library; packages with extensions are unpacked as a whole."""
    files = [file for file in distribution.files or () if '..' not in str(file)]
    native = {file.parts[0] for file in files if '.so' in file.suffixes}
    for file in files:
        path = Path(str(file.locate()))
        name = str(file)
        if file.suffix in {'.pyc', '.pyi', '.pxd', '.h', '.c', '.pyx'}:
            continue
        if file.parts[0] in native:
            add_native(bundle, path, name)
        elif file.suffix == '.py':
            bundle.add_module(path, name)
        elif is_needed(file):
            bundle.modules_by_name[name] = path.read_bytes()


def is_needed(file: importlib.metadata.PackagePath) -> bool:
    """Return whether a file that is no module is read at run time."""
    if file.parts[0].endswith('.dist-info'):
        return file.name in {'METADATA', 'entry_points.txt'}
    return True


def add_native(bundle: Bundle, path: Path, name: str) -> None:
    """Add a file of a package that has extensions."""
    target = f'{NATIVE_SITE}/{name}'
    if '.so' in path.suffixes:
        bundle.native_by_name[target] = stripped(path)
    elif path.suffix == '.py':
        bundle.native_by_name[f'{target}c'] = bundle.compile(path, name)
    elif path.suffix != '.md':
        bundle.native_by_name[target] = path.read_bytes()


def add_own_packages(bundle: Bundle) -> None:
    """Add the project with its metadata."""
    project = tomllib.loads((ROOT / 'pyproject.toml').read_text())['project']
    for package in OWN_PACKAGES:
        for path in sorted((ROOT / package).rglob('*.py')):
            bundle.add_module(path, str(path.relative_to(ROOT)))
    name, version = project['name'], project['version']
    metadata = f'Metadata-Version: 2.1\nName: {name}\nVersion: {version}\n'
    directory = f'{name}-{version}.dist-info'
    bundle.modules_by_name[f'{directory}/METADATA'] = metadata.encode()


def add_libraries(bundle: Bundle) -> None:
    """Add libpython and what extensions link to beside the C library."""
    libpython = find_libpython()
    stdlib = Path(sysconfig.get_path('stdlib'))
    roots = [libpython, *sorted((stdlib / 'lib-dynload').glob('*.so'))]
    kept = [path for path in roots if not EXCLUDED_EXTENSIONS.match(path.name)]
    for distribution in runtime_distributions():
        files = distribution.files or ()
        found = [Path(str(file.locate())) for file in files]
        kept.extend(path for path in found if '.so' in path.suffixes)
    libraries: dict[str, Path] = {}
    for path in kept:
        libraries.update(linked_libraries(path))
    order = sorted(libraries, key=lambda one: depth(libraries[one]))
    for name in order:
        bundle.native_by_name[f'{PRELOAD}/{name}'] = stripped(libraries[name])
    bundle.native_by_name[f'{PRELOAD}/{libpython.name}'] = stripped(libpython)
    listed = ' '.join([*order, libpython.name])
    bundle.native_by_name[f'{PRELOAD}/order'] = listed.encode()


def find_libpython() -> Path:
    """Return the shared library of this interpreter."""
    name = sysconfig.get_config_var('INSTSONAME') or ''
    directories = [
        sysconfig.get_config_var('LIBDIR'),
        sysconfig.get_config_var('LIBPL'),
        '/usr/lib',
        f'/usr/lib/{sysconfig.get_config_var("MULTIARCH")}',
    ]
    for library in (name, 'libpython3.11.so.1.0'):
        for directory in directories:
            path = Path(directory or '/') / library
            if library and '.so' in library and path.exists():
                return path.resolve()
    raise BuildError('libpython3.11.so.1.0 not found, expected a Python 3.11')


def linked_libraries(path: Path) -> dict[str, Path]:
    """Return the libraries of the system that a file links to, by name."""
    listed = run('ldd', str(path))
    found = re.findall(r'(\S+) => (/\S+)', listed)
    return {
        name: Path(target).resolve()
        for name, target in found
        if not LIBC.match(name) and 'site-packages' not in target
    }


def depth(path: Path) -> int:
    """Return how many libraries a library needs, directly or not."""
    return len(re.findall('=>', run('ldd', str(path))))


def stripped(path: Path) -> bytes:
    """Return a library without symbols that only debuggers use."""
    with tempfile.NamedTemporaryFile() as target:
        run('strip', '--strip-unneeded', '-o', target.name, str(path))
        return Path(target.name).read_bytes()


def run(*command: str) -> str:
    """Return the output of a tool."""
    if shutil.which(command[0]) is None:
        raise BuildError(f'{command[0]} not found, expected the C tools')
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    if done.returncode:
        raise BuildError(f'{" ".join(command)}: {done.stderr}')
    return done.stdout


def pack_native(bundle: Bundle) -> bytes:
    """Return the native files, each with the sizes of name and content."""
    packed = io.BytesIO()
    for name, content in sorted(bundle.native_by_name.items()):
        encoded = name.encode()
        packed.write(struct.pack('=IQ', len(encoded), len(content)))
        packed.write(encoded)
        packed.write(content)
    return packed.getvalue()


def pack_modules(bundle: Bundle, trailer: str) -> bytes:
    """Return the archive of modules, uncompressed, with the trailer."""
    packed = io.BytesIO()
    with zipfile.ZipFile(packed, 'w') as archive:
        for name, content in sorted(bundle.modules_by_name.items()):
            archive.writestr(zipfile.ZipInfo(name, ZIP_DATE), content)
        archive.comment = trailer.encode()
    return packed.getvalue()


def build(target: Path) -> None:
    """Write the binary."""
    with tempfile.TemporaryDirectory() as name:
        staging = Path(name)
        run('cc', '-O2', '-Wall', '-Wextra', '-Werror', '-rdynamic', '-o',
            str(staging / 'launcher'), str(LAUNCHER), '-ldl')  # fmt: skip
        run('strip', str(staging / 'launcher'))
        launcher = (staging / 'launcher').read_bytes()
        bundle = Bundle(staging)
        add_stdlib(bundle)
        for distribution in runtime_distributions():
            add_distribution(bundle, distribution)
        add_own_packages(bundle)
        add_libraries(bundle)
    native = pack_native(bundle)
    digest = hashlib.sha256(launcher + native).hexdigest()[:16]
    trailer = f'BTBUNDLE1 {digest} {len(launcher):015} {len(native):015}'
    target.parent.mkdir(parents=True, exist_ok=True)
    target.write_bytes(launcher + native + pack_modules(bundle, trailer))
    target.chmod(0o755)
    print(f'{target}: {target.stat().st_size / 1e6:.1f} MB')


def main() -> None:
    """Build and end with code 1 and one line if that is not possible."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('target', type=Path, nargs='?',
                        default=ROOT / 'dist' / 'bergamotthread')  # fmt: skip
    try:
        build(parser.parse_args().target)
    except BuildError as error:
        sys.exit(f'build-binary: {error}')


if __name__ == '__main__':
    main()
