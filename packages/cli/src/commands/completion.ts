import {Argument, type Command} from 'commander';
import {recordKinds} from '@samphiremill/core';
import type {CliIo} from '../types.js';

function listWords(command: Command): readonly string[] {
	return [
		...command.commands.map(child => child.name()),
		...command.options.flatMap(({long}) => long === null || long === undefined ? [] : [long]),
	];
}

function formatCases(program: Command): string {
	const kinds = recordKinds.join(' ');
	const lines = program.commands.map(command => {
		const takesKind = command.registeredArguments.some(argument => argument.name() === 'kind');
		const words = [...listWords(command), ...(takesKind ? [kinds] : [])].join(' ');
		return `\t\t${command.name()}) words="${words}" ;;`;
	});
	return [...lines, `\t\t*) words="${listWords(program).join(' ')}" ;;`].join('\n');
}

function formatScript(program: Command, shell: string): string {
	const name = program.name();
	/* eslint-disable no-template-curly-in-string -- the shell expands these */
	const script = [
		`_${name}() {`,
		'\tlocal words command="" word',
		'\tfor word in "${COMP_WORDS[@]:1:COMP_CWORD-1}"; do',
		'\t\tcase "$word" in -*) ;; *) command="$word"; break ;; esac',
		'\tdone',
		'\tcase "$command" in',
		formatCases(program),
		'\tesac',
		'\tCOMPREPLY=($(compgen -W "$words" -- "${COMP_WORDS[COMP_CWORD]}"))',
		'}',
		`complete -o default -F _${name} ${name}`,
		'',
	].join('\n');
	/* eslint-enable no-template-curly-in-string */
	return shell === 'zsh' ? `autoload -U +X bashcompinit && bashcompinit\n${script}` : script;
}

/** Registers `completion`. */
export function registerCompletion(program: Command, io: CliIo): void {
	program.command('completion')
		.description('print a completion script for the shell to source')
		.addArgument(new Argument('<shell>', 'the shell').choices(['bash', 'zsh']))
		.action((shell: string) => {
			io.write(formatScript(program, shell));
		});
}
